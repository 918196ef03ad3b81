//! The attempts of one request that still run, and which of them goes on.
//!
//! All start from the part of the answer that the caller has received. Another is started only while all are silent, and
//! the first that brings the next part is the only one that goes on, so that no part is sent twice or left out.

/// The attempts of one request, each with what runs it.
#[derive(Clone, Debug)]
pub struct Race<R> {
    attempts: Vec<Attempt<R>>,
}

#[derive(Clone, Debug)]
struct Attempt<R> {
    number: u32,
    silent: bool,
    run: R,
}

/// What follows when an attempt brings the next part of the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress<R> {
    /// Whether the attempt was silent before.
    pub resumed: bool,
    /// The other attempts, which have to be cancelled.
    pub cancelled: Vec<R>,
}

impl<R> Default for Race<R> {
    fn default() -> Race<R> {
        Race { attempts: Vec::new() }
    }
}

impl<R> Race<R> {
    /// Returns whether another attempt may start: none runs, or all are silent.
    pub fn admits_another(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.silent)
    }

    /// Returns whether no attempt runs.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Adds an attempt that has started.
    pub fn add(&mut self, number: u32, run: R) {
        self.attempts.push(Attempt { number, silent: false, run });
    }

    /// Removes and returns an attempt that has ended or was cancelled.
    pub fn remove(&mut self, number: u32) -> Option<R> {
        let position = self.position(number)?;
        Some(self.attempts.remove(position).run)
    }

    /// Records that an attempt is silent; returns whether it was not before.
    pub fn suspend(&mut self, number: u32) -> bool {
        let found = self.position(number).map(|position| &mut self.attempts[position]);
        found.is_some_and(|attempt| !std::mem::replace(&mut attempt.silent, true))
    }

    /// Makes an attempt the only one, because it has brought the next part; `None` if it runs no more.
    pub fn prefer(&mut self, number: u32) -> Option<Progress<R>> {
        let position = self.position(number)?;
        let preferred = &mut self.attempts[position];
        let resumed = std::mem::take(&mut preferred.silent);
        if self.attempts.len() == 1 {
            return Some(Progress { resumed, cancelled: Vec::new() });
        }
        let preferred = self.attempts.swap_remove(position);
        let others = std::mem::replace(&mut self.attempts, vec![preferred]);
        Some(Progress { resumed, cancelled: others.into_iter().map(|other| other.run).collect() })
    }

    /// Returns what runs an attempt.
    pub fn get_mut(&mut self, number: u32) -> Option<&mut R> {
        let position = self.position(number)?;
        Some(&mut self.attempts[position].run)
    }

    /// Returns all attempts with their numbers, in the order of their start unless one was preferred.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u32, &mut R)> {
        self.attempts.iter_mut().map(|attempt| (attempt.number, &mut attempt.run))
    }

    /// Returns all attempts, when the request has ended.
    pub fn into_runs(self) -> impl Iterator<Item = R> {
        self.attempts.into_iter().map(|attempt| attempt.run)
    }

    fn position(&self, number: u32) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.number == number)
    }
}
