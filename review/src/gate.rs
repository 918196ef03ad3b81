//! A proxy in front of a runner, which resets the connections from the machines that are partitioned from it.

use std::{
    collections::BTreeSet,
    io::{Read, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

#[derive(Default)]
struct State {
    cut: BTreeSet<IpAddr>,
    open: Vec<(IpAddr, TcpStream, TcpStream)>,
}

/// The proxy; clones share it.
#[derive(Clone)]
pub struct Gate(Arc<Mutex<State>>);

impl Gate {
    /// Starts a proxy from one address to another.
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Gate {
        let gate = Gate(Arc::default());
        let listener = TcpListener::bind(listen).expect("the proxy's address is free");
        let state = gate.clone();
        thread::spawn(move || {
            for caller in listener.incoming().flatten() {
                let state = state.clone();
                thread::spawn(move || state.serve(caller, target));
            }
        });
        gate
    }

    /// Resets the connections of a machine, also new ones, until [`Gate::heal`].
    pub fn cut(&self, source: IpAddr) {
        let mut state = self.0.lock().unwrap();
        state.cut.insert(source);
        for (_, caller, target) in state.open.iter().filter(|(from, ..)| *from == source) {
            let _ended = caller.shutdown(Shutdown::Both);
            let _ended = target.shutdown(Shutdown::Both);
        }
        state.open.retain(|(from, ..)| *from != source);
    }

    /// Ends all cuts.
    pub fn heal(&self) {
        self.0.lock().unwrap().cut.clear();
    }

    fn serve(&self, caller: TcpStream, target: SocketAddr) -> Option<()> {
        let source = caller.peer_addr().ok()?.ip();
        if self.0.lock().unwrap().cut.contains(&source) {
            return None;
        }
        // Where the runner's process has ended, the connection is closed at once.
        let target = TcpStream::connect(target).ok()?;
        let _ignored = (caller.set_nodelay(true), target.set_nodelay(true));
        {
            let mut state = self.0.lock().unwrap();
            if state.cut.contains(&source) {
                return None;
            }
            state.open.push((source, caller.try_clone().ok()?, target.try_clone().ok()?));
        }
        let (from, to) = (caller.try_clone().ok()?, target.try_clone().ok()?);
        let forward = thread::spawn(move || copy(from, to));
        copy(target, caller);
        let _ended = forward.join();
        Some(())
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 16 * 1024];
    while let Ok(read) = from.read(&mut bytes) {
        if read == 0 || to.write_all(&bytes[..read]).is_err() {
            break;
        }
    }
    let _ended = from.shutdown(Shutdown::Both);
    let _ended = to.shutdown(Shutdown::Both);
}
