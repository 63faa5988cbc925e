package org.cuminwell.core.distribution;

import java.time.Instant;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.model.Revision;

/**
 * Tells what a control host knows of one gateway. Immutable and thread safe.
 *
 * @param revisionInForce the revision that it has in force, as far as it has told
 * @param connected whether it is in contact now
 * @param connectionChangedAt when it came into contact, or went out of it
 * @param feeder whether it takes the configuration for its data centre
 */
public record GatewayStatus(
    HostDescription host,
    Revision revisionInForce,
    boolean connected,
    Instant connectionChangedAt,
    boolean feeder) {

  GatewayStatus withRevision(Revision revision) {
    return new GatewayStatus(host, revision, connected, connectionChangedAt, feeder);
  }

  GatewayStatus disconnectedAt(Instant now) {
    return connected ? new GatewayStatus(host, revisionInForce, false, now, false) : this;
  }

  GatewayStatus withDescription(HostDescription description) {
    return new GatewayStatus(description, revisionInForce, connected, connectionChangedAt, feeder);
  }

  GatewayStatus withFeeder(boolean isFeeder) {
    return new GatewayStatus(host, revisionInForce, connected, connectionChangedAt, isFeeder);
  }
}
