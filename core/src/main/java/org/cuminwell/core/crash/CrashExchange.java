package org.cuminwell.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.Supplier;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.peer.OutgoingMessage;
import org.cuminwell.core.peer.PeerMessage;

/**
 * Exchanges {@link CrashEvidence} with the connected hosts.
 *
 * <p>A host that connects is sent everything; after that, changes are sent to all hosts. An update
 * that is lost with its connection is made up for when the hosts connect again. Not thread safe:
 * one thread owns it.
 */
public final class CrashExchange {

  /** How long changes are collected, so that one crash does not make many messages. */
  static final Duration SEND_PERIOD = Duration.ofMillis(150);

  private final CrashEvidence evidence;
  private final Supplier<List<HostId>> recipients;
  private Instant sentAt = Instant.MIN;

  /** Creates the exchange; {@code recipients} supplies the hosts that changes are sent to. */
  public CrashExchange(CrashEvidence evidence, Supplier<List<HostId>> recipients) {
    this.evidence = evidence;
    this.recipients = recipients;
  }

  /** Returns the messages for a host that has just connected. */
  public List<OutgoingMessage> onConnected(HostId peer, Instant now) {
    CrashUpdate all = evidence.all(now);
    return all.isEmpty() ? List.of() : List.of(message(peer, all));
  }

  /** Merges what a host has sent. */
  public void onMessage(CrashUpdate update, Instant now) {
    evidence.merge(update, now);
  }

  /** Returns the messages that are due. */
  public List<OutgoingMessage> tick(Instant now) {
    if (!sentAt.equals(Instant.MIN) && now.isBefore(sentAt.plus(SEND_PERIOD))) {
      return List.of();
    }
    CrashUpdate changes = evidence.takeChanges(now);
    if (changes.isEmpty()) {
      return List.of();
    }
    sentAt = now;
    return recipients.get().stream().map(peer -> message(peer, changes)).toList();
  }

  private static OutgoingMessage message(HostId peer, CrashUpdate update) {
    return new OutgoingMessage(peer, new PeerMessage.Crashes(update));
  }
}
