//! Faults, time and changes of configuration in the model of the call path.

use super::*;

impl Fleet {
    pub(super) fn crash_upstream(&mut self) -> Result<(), String> {
        let node = self.pick(TARGETS);
        if self.nodes[node].paused {
            return Ok(());
        }
        let calls = std::mem::take(&mut self.nodes[node].calls);
        for (ticket, (attempt, call, work)) in calls {
            if matches!(work, Work::Ready) {
                self.nodes[node].calls.insert(ticket, (attempt, call, work));
                continue;
            }
            let lost = GateOutcome::Lost(ResultCode::UpstreamLost);
            let code = self.nodes[node].gate.finish(self.now, ticket, lost);
            self.reply(attempt, code, None);
        }
        self.poll(node);
        Ok(())
    }

    /// The process is replaced. Its callers see a broken connection, and later calls the new one.
    pub(super) fn crash_node(&mut self) -> Result<(), String> {
        let node = self.pick(TARGETS);
        let started = self.nodes[node].started + 1;
        let before = std::mem::replace(&mut self.nodes[node].paused, false);
        self.count(if before { "crash while paused" } else { "crash" });
        self.note(format!("node t{node} restarts"));
        self.nodes[node] = Node { started, ..self.boot(node, self.now) };
        let lost = |request: &Request| {
            request.waits_for.as_deref().is_some_and(|name| Fleet::index(name) == node)
        };
        let lost: Vec<usize> =
            (0..self.requests.len()).filter(|index| lost(&self.requests[*index])).collect();
        for request in lost {
            let number = self.requests[request].attempt;
            let end = Fleet::end(ResultCode::LinkLost, false);
            self.messages.push(Message::Reply {
                attempt: Attempt { request, number, reached_at: self.now },
                end,
                content: None,
            });
        }
        for index in 0..self.messages.len() {
            let Message::Question { to, from, question } = &self.messages[index] else { continue };
            if *to == node {
                let (to, from, key) = (*from, *to, question.key.clone());
                self.messages[index] = Message::Answer { to, from, key, answer: None };
            }
        }
        Ok(())
    }

    /// A message is lost with its connection. Bytes of a call may arrive all the same.
    pub(super) fn break_link(&mut self) -> Result<(), String> {
        if self.messages.is_empty() {
            return Ok(());
        }
        let index = self.pick(self.messages.len());
        let arrives = self.pick(2) == 0;
        let replacement = match &self.messages[index] {
            Message::Call { attempt, .. } | Message::Reply { attempt, .. } => Message::Reply {
                attempt: attempt.clone(),
                end: Fleet::end(ResultCode::LinkLost, false),
                content: None,
            },
            Message::Question { to, from, question } => {
                let key = question.key.clone();
                Message::Answer { to: *from, from: *to, key, answer: None }
            }
            Message::Answer { to, from, key, .. } => {
                Message::Answer { to: *to, from: *from, key: key.clone(), answer: None }
            }
            Message::Cancel { .. } => return Ok(()),
        };
        if matches!(self.messages[index], Message::Call { .. }) && arrives {
            self.messages.push(replacement);
        } else {
            self.messages[index] = replacement;
        }
        Ok(())
    }

    pub(super) fn cancel(&mut self, node: usize, attempt: &Attempt) {
        let is_same =
            |other: &Attempt| other.request == attempt.request && other.number == attempt.number;
        let state = &mut self.nodes[node];
        let waiting = state.waiting.iter().find(|(_, call)| is_same(&call.0));
        if let Some((&ticket, _)) = waiting {
            assert!(state.gate.cancel(self.now, ticket), "a call that waits can be cancelled");
            state.waiting.remove(&ticket);
        }
        let asking = state.asking.iter().position(|asking| is_same(&asking.attempt));
        if let Some(position) = asking {
            let asking = state.asking.swap_remove(position);
            state.gate.abandon(self.now, &asking.call);
        }
    }

    pub(super) fn tick(&mut self) -> Result<(), String> {
        let millis = self.rng.random_range(1..20);
        self.advance(millis)
    }

    pub(super) fn jump(&mut self) -> Result<(), String> {
        let millis = self.rng.random_range(200..WINDOW);
        self.advance(millis)
    }

    pub(super) fn advance(&mut self, millis: u64) -> Result<(), String> {
        self.now = self.now + ClockSpan::new(millis);
        self.inform_removed();
        for node in 0..TARGETS {
            if !self.nodes[node].paused {
                self.poll(node);
                if !self.cut.contains(&node) && self.nodes[node].version + 1 == self.versions.len()
                {
                    self.nodes[node].gate.note_current(self.now);
                }
            }
        }
        for request in 0..self.requests.len() {
            let state = &self.requests[request];
            let Some(target) = state.waits_for.clone() else { continue };
            if state.deadline.is_over(self.now) {
                let attempt = Attempt { request, number: state.attempt, reached_at: self.now };
                let to = Fleet::index(&target);
                self.messages.push(Message::Cancel { to, attempt: attempt.clone() });
                let end = Fleet::end(ResultCode::PatienceOver, false);
                self.end_attempt(attempt, end, None)?;
            }
        }
        Ok(())
    }

    /// The caller goes away; its entry node drops the plan.
    pub(super) fn give_up(&mut self) -> Result<(), String> {
        let waiting = |request: &Request| request.waits_for.is_some();
        let Some(index) = self.requests.iter().position(waiting) else { return Ok(()) };
        let request = &mut self.requests[index];
        let target = request.waits_for.take().expect("a target");
        let attempt = Attempt { request: index, number: request.attempt, reached_at: self.now };
        request.plan.abandon(self.now, &mut self.entries[request.entry].balancer);
        self.messages.push(Message::Cancel { to: Fleet::index(&target), attempt });
        Ok(())
    }

    /// Pauses a node, or else resumes the paused ones.
    pub(super) fn pause(&mut self) {
        let node = self.pick(TARGETS);
        let pauses = self.pick(4) == 0;
        self.nodes.iter_mut().for_each(|node| node.paused = false);
        self.nodes[node].paused = pauses;
    }

    /// Cuts one or two nodes off from the others, or else heals the partition.
    pub(super) fn partition(&mut self) {
        self.cut.clear();
        if self.pick(3) == 0 {
            let nodes = [self.pick(TARGETS), self.pick(TARGETS)];
            self.cut.extend(nodes);
        }
    }

    pub(super) fn drain(&mut self) {
        let node = self.pick(TARGETS);
        self.nodes[node].gate.begin_drain(self.now);
    }

    pub(super) fn configure(&mut self) {
        let (last, view, _) = self.versions.last().expect("a version").clone();
        let toggled = self.pick(TARGETS);
        let before: Vec<usize> =
            view.targets.iter().map(|target| Fleet::index(&target.name)).collect();
        let mut targets: Vec<usize> =
            before.iter().copied().filter(|target| *target != toggled).collect();
        if targets.len() == before.len() {
            targets.push(toggled);
        }
        if targets.len() < 2 {
            return;
        }
        let number = last.number + 1;
        let version = VersionId::new(number, PartHash::new(&number.to_le_bytes()));
        let view = Arc::new(service(targets, 8, WINDOW));
        self.versions.push((version, view, self.now));
        self.count("configured");
    }

    /// A node takes over the newest version, or the next one.
    pub(super) fn apply(&mut self) {
        let newest = self.versions.len() - 1;
        let skips = self.pick(4) == 0;
        let index = self.pick(TARGETS + ENTRIES);
        if index >= TARGETS {
            let entry = &mut self.entries[index - TARGETS];
            entry.version = if skips { newest } else { newest.min(entry.version + 1) };
            let view = self.versions[entry.version].1.clone();
            entry.balancer.update(self.now, &view);
        } else if !self.nodes[index].paused && !self.cut.contains(&index) {
            let next = if skips { newest } else { newest.min(self.nodes[index].version + 1) };
            self.install(index, next);
        }
    }

    pub(super) fn install(&mut self, node: usize, version: usize) {
        if version <= self.nodes[node].version {
            return;
        }
        let (id, view, _) = self.versions[version].clone();
        self.nodes[node].version = version;
        let names: Vec<usize> =
            view.targets.iter().map(|target| Fleet::index(&target.name)).collect();
        self.note(format!("node t{node} applies {} with {names:?}", id.number));
        self.nodes[node].gate.update(self.now, id, &view, 1);
    }

    /// A target that was removed hears of it within a window. One that goes on serving for longer, cut
    /// off or paused, is outside the guarantee: nobody can wait for a target that may be gone for good.
    pub(super) fn inform_removed(&mut self) {
        for version in 1..self.versions.len() {
            let (_, view, at) = &self.versions[version];
            if self.now.since(*at).millis() < WINDOW {
                continue;
            }
            let names: BTreeSet<usize> =
                view.targets.iter().map(|target| Fleet::index(&target.name)).collect();
            for node in (0..TARGETS).filter(|node| !names.contains(node)) {
                if self.nodes[node].version < version {
                    self.nodes[node].paused = false;
                    self.install(node, version);
                }
            }
        }
    }
}
