//! Discovery: the whole list, and watches that get the changes.

use crate::http::{read_request, reply, start_chunked, write_chunk};
use crate::record::note;
use crate::{now_ms, sleep_ms};
use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};

#[derive(Clone)]
pub struct Host {
    pub id: String,
    pub dial: SocketAddr,
    pub site: String,
    pub kind: String,
    pub health: String,
    pub born_ms: u64,
    pub release: u32,
}

impl Host {
    fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"{}","block":1,"health":"{}","share":1.0,"born_ms":{},"release":{}}}"#,
            self.id, self.dial, self.site, self.kind, self.health, self.born_ms, self.release
        )
    }
}

#[derive(Default)]
struct List {
    seq: u64,
    hosts: BTreeMap<String, Host>,
    /// Each change with its version.
    changes: Vec<(u64, Vec<Host>)>,
}

fn list_json(seq: u64, whole: bool, hosts: &[Host]) -> String {
    let hosts: Vec<String> = hosts.iter().map(Host::json).collect();
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    list: Arc<Mutex<List>>,
    /// Cut off: open connections say nothing, new ones get no answer.
    pub is_silent: Arc<AtomicBool>,
}

impl Discovery {
    pub fn start(hosts: Vec<Host>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port on loopback");
        let addr = listener.local_addr().expect("the address of a listener");
        let hosts = hosts.into_iter().map(|host| (host.id.clone(), host)).collect();
        let list = Arc::new(Mutex::new(List { seq: 41, hosts, changes: Vec::new() }));
        let is_silent = Arc::new(AtomicBool::new(false));
        let discovery = Discovery { addr, list, is_silent };
        let shared = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        discovery
    }

    /// The whole list as JSON, for the configuration of a gateway.
    pub fn whole(&self) -> String {
        let list = self.list.lock().unwrap();
        let hosts: Vec<Host> = list.hosts.values().cloned().collect();
        list_json(list.seq, true, &hosts)
    }

    /// Publishes changed entries: they are written to open watches within some ms.
    pub fn publish(&self, changed: Vec<Host>) {
        let mut list = self.list.lock().unwrap();
        list.seq += 1;
        let seq = list.seq;
        for host in &changed {
            note(format!("discovery: seq {seq}: {} is {} release {}", host.id, host.health, host.release));
            if host.health == "removed" {
                list.hosts.remove(&host.id);
            } else {
                list.hosts.insert(host.id.clone(), host.clone());
            }
        }
        list.changes.push((seq, changed));
    }

    pub fn host(&self, id: &str) -> Host {
        self.list.lock().unwrap().hosts[id].clone()
    }

    fn wait_while_silent(&self) {
        while self.is_silent.load(SeqCst) {
            sleep_ms(5.0);
        }
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let request = read_request(&mut reader).ok()?;
        self.wait_while_silent();
        if !request.path.contains("watch=1") {
            let whole = self.whole();
            return reply(&mut writer, "200 OK", &whole).ok();
        }
        let after = request.path.split("after=").nth(1).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        note(format!("discovery: a watch after {after} begins"));
        start_chunked(&mut writer).ok()?;
        let mut sent = after;
        let mut last_write = f64::MIN;
        if after == 0 {
            write_chunk(&mut writer, &format!("{}\n", self.whole())).ok()?;
            sent = self.list.lock().unwrap().seq;
            last_write = now_ms();
        }
        loop {
            self.wait_while_silent();
            let due: Vec<(u64, Vec<Host>)> = {
                let list = self.list.lock().unwrap();
                list.changes.iter().filter(|(seq, _)| *seq > sent).cloned().collect()
            };
            for (seq, hosts) in due {
                write_chunk(&mut writer, &format!("{}\n", list_json(seq, false, &hosts))).ok()?;
                sent = seq;
                last_write = now_ms();
            }
            if now_ms() - last_write >= 1900.0 {
                write_chunk(&mut writer, "\n").ok()?;
                last_write = now_ms();
            }
            sleep_ms(4.0);
        }
    }
}
