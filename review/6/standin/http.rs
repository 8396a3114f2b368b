//! HTTP/1.1 over TCP, one thread for each connection.

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::json::{Json, parse};

pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: Json,
}

/// Returns a loopback address of this process alone, so that nobody else takes the ports that its
/// instances are about to listen on.
pub fn host() -> Ipv4Addr {
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high.saturating_add(1), low, 1)
}

pub type Reply = (u16, Json);

/// A server. It can crash: its port then resets new connections. It can also lose power: then
/// opening packets are dropped, and nothing answers on the connections from before. What is sent on
/// these is answered with a reset once the power is back.
pub struct Server {
    pub address: SocketAddr,
    open: Arc<Mutex<Vec<TcpStream>>>,
    crashed: Arc<AtomicBool>,
    /// How often it has lost power or got it again; odd while it has none.
    power: Arc<AtomicU64>,
}

impl Server {
    pub fn start(handle: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> Server {
        let listener = TcpListener::bind((host(), 0)).expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        listener.set_nonblocking(true).expect("the socket works");
        let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let crashed = Arc::new(AtomicBool::new(false));
        let power = Arc::new(AtomicU64::new(0));
        let handle = Arc::new(handle);
        let (streams, flag, powered) = (open.clone(), crashed.clone(), power.clone());
        thread::spawn(move || {
            let mut fillers = Vec::new();
            while !flag.load(Ordering::SeqCst) {
                if powered.load(Ordering::SeqCst) % 2 == 1 {
                    if fillers.is_empty() {
                        fillers = drop_packets(&listener, address);
                    }
                    thread::sleep(Duration::from_millis(1));
                    continue;
                }
                if !fillers.is_empty() {
                    fillers.clear();
                    set_backlog(&listener, BACKLOG);
                }
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(2));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    streams.lock().expect("no thread has panicked").push(copy);
                }
                let (handle, flag, power) = (handle.clone(), flag.clone(), powered.clone());
                let life = power.load(Ordering::SeqCst);
                thread::spawn(move || {
                    let is_alive =
                        || !flag.load(Ordering::SeqCst) && power.load(Ordering::SeqCst) == life;
                    let wait_for_power = || {
                        while power.load(Ordering::SeqCst) % 2 == 1 {
                            thread::sleep(Duration::from_millis(1));
                        }
                    };
                    serve(stream, &is_alive, &wait_for_power, |request| {
                        handle(request)
                    });
                });
            }
        });
        Server {
            address,
            open,
            crashed,
            power,
        }
    }

    /// Loses power or gets it again.
    pub fn switch_power(&self) {
        self.power.fetch_add(1, Ordering::SeqCst);
    }

    /// Ends for good: resets its connections and refuses new ones.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        for stream in self.open.lock().expect("no thread has panicked").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// The length of the queue of new connections.
const BACKLOG: i32 = 1_024;

unsafe extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

fn set_backlog(listener: &TcpListener, backlog: i32) {
    // SAFETY: the socket is open, and the call has no other argument than a number.
    unsafe { listen(listener.as_raw_fd(), backlog) };
}

/// Lets opening packets be dropped, as those to a machine without power are: by a queue of new
/// connections that is full.
fn drop_packets(listener: &TcpListener, address: SocketAddr) -> Vec<TcpStream> {
    set_backlog(listener, 0);
    let mut fillers = Vec::new();
    while let Ok(filler) = TcpStream::connect_timeout(&address, Duration::from_millis(20)) {
        fillers.push(filler);
    }
    fillers
}

/// Keeps a connection open on which nothing answers.
fn stay_silent() {
    thread::sleep(Duration::from_secs(120));
}

fn serve(
    stream: TcpStream,
    is_alive: &impl Fn() -> bool,
    wait_for_power: &impl Fn(),
    handle: impl Fn(&Request) -> Reply,
) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some((first, headers, body))) = read(&mut reader) {
        let mut words = first.split(' ');
        if !is_alive() {
            // Nobody answers until the machine is back, which resets a connection that it doesn't know.
            wait_for_power();
            return;
        }
        let target = words.nth(1).unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            path: path.to_owned(),
            query: pairs
                .map(|(name, value)| (name.to_owned(), unescape(value)))
                .collect(),
            headers,
            body: parse(&String::from_utf8_lossy(&body)),
        };
        let (status, body) = handle(&request);
        if !is_alive() {
            // The caller waits, and sends nothing that could be answered with a reset.
            return stay_silent();
        }
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = text
            .get(at + 1..at + 3)
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

type Message = (String, BTreeMap<String, String>, Vec<u8>);

fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// Makes a call as a client does. Returns `None` if no complete answer came in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: Option<&Json>,
    timeout: Duration,
) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let body = body.map(Json::to_string).unwrap_or_default();
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nhost: queues.example\r\ncontent-type: application/json\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    stream
        .write_all((head + "connection: close\r\n\r\n" + &body).as_bytes())
        .ok()?;
    let (first, _, body) = read(&mut BufReader::new(stream)).ok()??;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    Some((status, parse(&String::from_utf8_lossy(&body))))
}
