//! Stand-in of a sound backend server.

use std::io;
use std::io::BufReader;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::record::Record;

/// A request that a server ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub request: String,
    /// Id of the server.
    pub server: String,
    /// When it began, since the begin of the record.
    pub began: Duration,
}

/// All requests that servers ran.
#[derive(Default)]
pub struct Runs(Mutex<Vec<Run>>);

impl Runs {
    fn lock(&self) -> MutexGuard<'_, Vec<Run>> {
        self.0.lock().expect("lock is not poisoned")
    }

    /// Runs of a request.
    pub fn of(&self, request: &str) -> Vec<Run> {
        let runs = self.lock();
        let found = runs.iter().filter(|run| run.request == request);
        found.cloned().collect()
    }
}

/// What a server does with each request. Shared with the case, which may change it.
#[derive(Clone, Debug)]
pub struct Manner {
    /// Time that a request takes.
    pub work: Duration,
    /// Whether the server says that it is leaving.
    pub leaving: bool,
}

/// A running server.
pub struct Server {
    /// Its id.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its address.
    pub address: SocketAddr,
    manner: Mutex<Manner>,
    down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server on an address.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        runs: Arc<Runs>,
        record: Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            manner: Mutex::new(Manner {
                work: Duration::from_millis(20),
                leaving: false,
            }),
            down: AtomicBool::new(false),
            open: Mutex::default(),
            runs,
            record,
        });
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.down.load(Ordering::SeqCst) {
                    return;
                }
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(server)
    }

    /// Ends the server as a crash does: its connections are closed, and new ones are refused.
    pub fn crash(&self) {
        self.down.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().expect("lock is not poisoned").drain(..) {
            // The peer may have closed it already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(&format!("server {} crashes", self.id));
    }

    /// Whether the server has crashed.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// What the server does with each request.
    pub fn manner(&self) -> MutexGuard<'_, Manner> {
        self.manner.lock().expect("lock is not poisoned")
    }

    /// The row that the server writes about itself.
    pub fn row(&self, state: &str, seq_no: u64, born: u64) -> String {
        format!(
            r#"{{"address":"{}","info":{{"service":"{}","version":"v1","zone":"zone-a","slots":6}},"status":{{"state":"{state}","seq_no":{seq_no},"warmup_left_ms":0}},"born":{born}}}"#,
            self.address, self.service
        )
    }

    fn serve(&self, stream: TcpStream) {
        // A connection that can't be set up ends like one that breaks.
        let _ = stream.set_nodelay(true);
        let (Ok(reading), Ok(open)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        self.open.lock().expect("lock is not poisoned").push(open);
        let mut writing = stream;
        let mut reader = BufReader::new(reading);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if self.answer(&mut writing, &request).is_err() {
                return;
            }
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let id = request.header("x-wisteriabarrow-request-id");
        let target = request.header("x-wisteriabarrow-target-instance");
        let mut headers = vec![
            ("X-Wisteriabarrow-Request-Id", id),
            ("X-Wisteriabarrow-Instance-Id", self.id.as_str()),
        ];
        let manner = self.manner().clone();
        if manner.leaving {
            headers.push(("Server-Leaving", "1"));
        }
        if !target.is_empty() && target != self.id {
            return http::write(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        let run = Run {
            request: id.to_owned(),
            server: self.id.clone(),
            began: self.record.now(),
        };
        self.record.line(&format!(
            "server {} of {} runs {id}: {}",
            self.id, self.service, request.start
        ));
        self.runs.lock().push(run);
        thread::sleep(manner.work);
        let signature = format!("{}.{id}", self.id);
        headers.push(("X-Wisteriabarrow-Response-Signature", &signature));
        headers.push(("X-Wisteriabarrow-Server-Load", "0,0,6"));
        http::write(stream, "HTTP/1.1 200 OK", &headers, b"done")
    }
}
