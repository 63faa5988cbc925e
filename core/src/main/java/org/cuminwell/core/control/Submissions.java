package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/**
 * Submits commands that are not an operator's, and keeps what the agreement decides on them.
 *
 * <p>Invariant: no id is used twice, also across restarts. Not thread safe: the thread of its
 * {@link Control} owns it.
 */
final class Submissions {

  private static final int MAX_NAME = 24;
  private static final int RADIX = 36;

  private final String name;
  private final ReplicatedStateMachine replicatedStateMachine;
  private List<StateMachineAction> decided = new ArrayList<>();
  private long startedAtMillis;
  private long count;

  Submissions(HostId self, ReplicatedStateMachine replicatedStateMachine) {
    this.name = self.value().substring(0, Math.min(MAX_NAME, self.value().length()));
    this.replicatedStateMachine = replicatedStateMachine;
  }

  Optional<HostId> leader(Instant now) {
    return replicatedStateMachine.status(now).leader();
  }

  RequestId nextId(Instant now) {
    if (startedAtMillis == 0) {
      startedAtMillis = now.toEpochMilli();
    }
    count++;
    return new RequestId(
        name + ":" + Long.toString(startedAtMillis, RADIX) + ":" + Long.toString(count, RADIX));
  }

  void submit(RequestId id, Command command, Instant now) {
    decided.addAll(replicatedStateMachine.submit(id, command, now));
  }

  /** Returns what was decided since the last call, in order. */
  List<StateMachineAction> drain() {
    List<StateMachineAction> result = decided;
    decided = new ArrayList<>();
    return result;
  }
}
