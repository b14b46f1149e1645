//! A scripted peer on the link between a box and the lead, which encodes frames byte by byte.
//!
//! The bytes are those of the previous release, with or without the fields that were added at the end. They are written
//! out here, so that a change of the frames that the other release cannot read fails a test.

use std::net::SocketAddr;

use sedgehill_cell::authority::{BoxStrength, LeadRecord};
use sedgehill_cell::ids::{BoxName, FencingToken};
use sedgehill_standin::cell_platform::{CellPlatform, LEAD_TOPIC};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// The tags of the frames that the scripts use.
pub mod tag {
    pub const HELLO: u8 = 0;
    pub const PING: u8 = 1;
    pub const SUBMIT: u8 = 4;
    pub const SUBMITTED: u8 = 5;
    pub const PROBE: u8 = 17;
    pub const PROOF: u8 = 20;
    pub const UNSETTLED: u8 = 21;
}

/// The encoded outcomes of submissions.
pub mod outcome {
    pub const KEPT: u8 = 0;
    pub const NOT_DONE: u8 = 1;
    pub const DEFERRED: u8 = 6;
    pub const REJECTED: u8 = 7;
}

/// Appends a number as postcard encodes it.
pub fn put_number(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

/// Takes an encoded number from the front of `bytes`.
pub fn take_number(bytes: &mut &[u8]) -> u64 {
    let mut number = 0;
    for shift in (0..).step_by(7) {
        let (first, rest) = bytes.split_first().expect("the number is complete");
        *bytes = rest;
        number |= u64::from(first & 0x7f) << shift;
        if first & 0x80 == 0 {
            break;
        }
    }
    number
}

/// Appends a text. Spans of time are encoded as texts such as `100ms`.
pub fn put_text(bytes: &mut Vec<u8>, text: &str) {
    put_number(bytes, text.len() as u64);
    bytes.extend_from_slice(text.as_bytes());
}

/// Takes an encoded text from the front of `bytes`.
pub fn take_text<'a>(bytes: &mut &'a [u8]) -> &'a str {
    let length = take_number(bytes) as usize;
    let (text, rest) = bytes.split_at(length);
    *bytes = rest;
    std::str::from_utf8(text).expect("the text is valid")
}

/// One end of a link.
pub struct ScriptedLink {
    stream: TcpStream,
}

impl ScriptedLink {
    /// Connects to a lead as a box, with the given bytes after the fields of the previous release's first frame.
    pub async fn join(lead: SocketAddr, name: &str, added: &[u8]) -> ScriptedLink {
        let mut link = ScriptedLink { stream: TcpStream::connect(lead).await.unwrap() };
        let mut hello = vec![tag::HELLO];
        put_text(&mut hello, name);
        put_number(&mut hello, 100);
        hello.extend_from_slice(added);
        link.write(&hello).await;
        link
    }

    /// Writes a frame.
    pub async fn write(&mut self, body: &[u8]) {
        let mut frame = (body.len() as u32).to_be_bytes().to_vec();
        frame.extend_from_slice(body);
        self.stream.write_all(&frame).await.unwrap();
    }

    /// Reads a frame; none if the other end has closed the link.
    pub async fn read(&mut self) -> Option<Vec<u8>> {
        let length = self.stream.read_u32().await.ok()?;
        let mut body = vec![0; length as usize];
        self.stream.read_exact(&mut body).await.ok()?;
        Some(body)
    }

    /// Reads frames until one has the given tag.
    pub async fn read_tagged(&mut self, tag: u8) -> Option<Vec<u8>> {
        loop {
            let body = self.read().await?;
            if body[0] == tag {
                return Some(body);
            }
        }
    }

    /// Sends a job as a box.
    pub async fn send_submission(&mut self, number: u64, job: u64, record: &[u8]) {
        let mut submit = vec![tag::SUBMIT];
        put_number(&mut submit, number);
        put_number(&mut submit, job);
        submit.extend_from_slice(record);
        self.write(&submit).await;
    }

    /// Submits a job as a box, and returns the bytes of the outcome.
    pub async fn submit(&mut self, number: u64, job: u64, record: &[u8]) -> Vec<u8> {
        self.send_submission(number, job, record).await;
        loop {
            let body = self.read_tagged(tag::SUBMITTED).await.expect("the lead keeps the link");
            let mut rest = &body[1..];
            if take_number(&mut rest) == number {
                return rest.to_vec();
            }
        }
    }
}

/// A scripted lead, which one box connects to.
pub struct ScriptedLead {
    listener: TcpListener,
}

impl ScriptedLead {
    /// Makes the store name a scripted lead as the lead.
    pub async fn claim(platform: &CellPlatform) -> ScriptedLead {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let record = LeadRecord {
            token: FencingToken(1),
            holder: BoxName("scripted".into()),
            life: 1,
            peer_address: listener.local_addr().unwrap().to_string(),
            strength: BoxStrength(1_000),
            resigned: false,
            predecessors_expired: false,
            locations_since: None,
        };
        platform.store.put_bytes(LEAD_TOPIC, "lead", &record.encode());
        ScriptedLead { listener }
    }

    /// Accepts the link of a box, and returns it with the bytes of the box's first frame.
    pub async fn accept(&self) -> (ScriptedLink, Vec<u8>) {
        let (stream, _) = self.listener.accept().await.unwrap();
        let mut link = ScriptedLink { stream };
        let hello = link.read().await.expect("the box introduces itself");
        (link, hello)
    }
}

/// What a scripted lead answers to a submission: the bytes of the outcome, or none to close the link.
pub type OutcomeScript<'a> = &'a dyn Fn(u64) -> Option<Vec<u8>>;

/// Leads one box until the link ends or the future is dropped: answers its submissions by `script`, and proves that there
/// are no jobs. `added` is sent after the fields of the previous release's ping. Frames are passed to `seen`.
pub async fn lead_box(
    link: &mut ScriptedLink,
    added: &[u8],
    script: OutcomeScript<'_>,
    mut seen: impl FnMut(&[u8]),
) {
    // The store answers the lead; its strength is that of the claim.
    let mut ping = vec![tag::PING, 1];
    put_number(&mut ping, 1_000);
    ping.extend_from_slice(added);
    link.write(&ping).await;
    while let Some(body) = link.read().await {
        seen(&body);
        let mut rest = &body[1..];
        match body[0] {
            tag::PROBE => {
                // A proof of version 1 of the configuration and of empty topics, all known just now.
                let mut proof = vec![tag::PROOF];
                put_number(&mut proof, take_number(&mut rest));
                proof.extend_from_slice(&[1, 1]);
                put_text(&mut proof, "0ms");
                proof.extend_from_slice(&[0, 0]);
                put_text(&mut proof, "0ms");
                link.write(&proof).await;
                // The box sends a probe every 300 ms.
                link.write(&ping).await;
            }
            tag::SUBMIT => {
                let number = take_number(&mut rest);
                let Some(outcome) = script(take_number(&mut rest)) else { return };
                let mut submitted = vec![tag::SUBMITTED];
                put_number(&mut submitted, number);
                submitted.extend_from_slice(&outcome);
                link.write(&submitted).await;
            }
            _ => {}
        }
    }
}
