//! A state machine that keeps the last 1,000 commands.

use std::collections::VecDeque;

use replica::state_machine::StateMachine;

const KEPT: usize = 1_000;

#[derive(Clone, Default)]
pub struct RecentCommands {
    commands: VecDeque<Vec<u8>>,
    count: u64,
}

impl StateMachine for RecentCommands {
    type Command = Vec<u8>;
    type Reply = u64;
    type Query = ();
    type Answer = u64;
    type Error = std::num::TryFromIntError;

    fn apply(&mut self, _index: u64, command: &Vec<u8>) -> u64 {
        self.commands.push_back(command.clone());
        if self.commands.len() > KEPT {
            self.commands.pop_front();
        }
        self.count += 1;
        self.count
    }

    fn query(&self, _query: &()) -> u64 {
        self.count
    }

    fn encode(&self) -> Vec<u8> {
        let mut bytes = self.count.to_le_bytes().to_vec();
        self.commands.iter().for_each(|command| bytes.extend_from_slice(command));
        bytes
    }

    fn decode(&self, bytes: &[u8]) -> Result<RecentCommands, std::num::TryFromIntError> {
        let (count, _) = bytes.split_first_chunk().expect("a snapshot begins with the count");
        Ok(RecentCommands { commands: VecDeque::new(), count: u64::from_le_bytes(*count) })
    }
}
