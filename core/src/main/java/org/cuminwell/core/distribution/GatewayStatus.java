package org.cuminwell.core.distribution;

import java.time.Instant;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.model.Revision;

/**
 * Describes the state of one gateway as a control host knows it. Immutable and thread safe.
 *
 * @param revisionInForce the last revision that the gateway is known to have in force
 * @param connected whether the gateway is connected now
 * @param connectionChangedAt when the gateway last connected or disconnected
 * @param feeder whether the gateway receives the configuration for its data centre from control
 *     hosts
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
