//! A list service whose answers never end.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

/// The number of repeats of a short text in one write.
const REPEATS: usize = 200;
const SLOW_INTERVAL: Duration = Duration::from_millis(5);

/// How the answers go on without an end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndlessAnswer {
    /// Header fields at full speed.
    Heads,
    /// Members of the list at full speed, each with a new name.
    Members,
    /// White space in the list at full speed.
    WhiteSpace,
    /// One byte of the body after the other, slowly.
    SlowBody,
}

/// Starts such a service and returns its address.
pub fn start_endless_list_service(answer: EndlessAnswer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || serve(stream, answer));
        }
    });
    address
}

fn serve(mut stream: TcpStream, answer: EndlessAnswer) {
    if !matches!(stream.read(&mut [0; 4096]), Ok(1..)) {
        return;
    }
    let body = "Content-Length: 1000000000\r\n\r\n{\"revision\":9,\"complete\":true,\"members\":[";
    let head = match answer {
        EndlessAnswer::Heads => "HTTP/1.1 200 OK\r\n".to_string(),
        _ => format!("HTTP/1.1 200 OK\r\n{body}"),
    };
    let mut goes_on = stream.write_all(head.as_bytes()).is_ok();
    for number in 0_u64.. {
        if !goes_on {
            return;
        }
        let text = match answer {
            EndlessAnswer::Heads => format!("x-{number}: y\r\n").repeat(REPEATS),
            EndlessAnswer::Members => {
                let name =
                    |n: usize| format!("{{\"id\":\"m-{number}-{n}\",\"phase\":\"active\"}},");
                (0..REPEATS).map(name).collect()
            }
            EndlessAnswer::WhiteSpace => " ".repeat(REPEATS),
            EndlessAnswer::SlowBody => " ".to_string(),
        };
        goes_on = stream.write_all(text.as_bytes()).is_ok();
        if answer == EndlessAnswer::SlowBody {
            thread::sleep(SLOW_INTERVAL);
        }
    }
}
