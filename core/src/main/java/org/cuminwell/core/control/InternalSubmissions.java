package org.cuminwell.core.control;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.RequestId;

/**
 * Submits commands that originate on this host rather than from an operator, and collects the
 * resulting actions.
 *
 * <p>Invariant: ids are unique, also across restarts. Not thread safe: the thread of its {@link
 * Control} owns it.
 */
final class InternalSubmissions {

  private static final int MAX_ID_PREFIX_LENGTH = 24;
  private static final int RADIX = 36;

  private final String idPrefix;
  private final ReplicatedStateMachine replicatedStateMachine;
  private List<StateMachineAction> actions = new ArrayList<>();
  private long startedAtMillis;
  private long count;

  InternalSubmissions(HostId self, ReplicatedStateMachine replicatedStateMachine) {
    this.idPrefix =
        self.value().substring(0, Math.min(MAX_ID_PREFIX_LENGTH, self.value().length()));
    this.replicatedStateMachine = replicatedStateMachine;
  }

  Optional<HostId> leader(Instant now) {
    return replicatedStateMachine.status(now).leader();
  }

  /** Returns a new id, made of the host name, the time of the first call and a counter. */
  RequestId nextId(Instant now) {
    if (startedAtMillis == 0) {
      startedAtMillis = now.toEpochMilli();
    }
    count++;
    return new RequestId(
        idPrefix + ":" + Long.toString(startedAtMillis, RADIX) + ":" + Long.toString(count, RADIX));
  }

  void submit(RequestId id, Command command, Instant now) {
    actions.addAll(replicatedStateMachine.submit(id, command, now));
  }

  /** Returns the actions collected since the last call, in order. */
  List<StateMachineAction> drain() {
    List<StateMachineAction> result = actions;
    actions = new ArrayList<>();
    return result;
  }
}
