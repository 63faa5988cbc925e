package org.cuminwell.core.distribution;

import java.time.Instant;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.model.Revision;

/**
 * Tells what a control host knows of one gateway. Immutable and thread safe.
 *
 * @param held the revision that it has in force, as far as it has told
 * @param connected whether it is in contact now
 * @param since when it came into contact, or went out of it
 * @param feeder whether it takes the configuration for its data centre
 */
public record GatewayContact(
    HostDescription host, Revision held, boolean connected, Instant since, boolean feeder) {

  GatewayContact holding(Revision revision) {
    return new GatewayContact(host, revision, connected, since, feeder);
  }

  GatewayContact lostAt(Instant now) {
    return connected ? new GatewayContact(host, held, false, now, false) : this;
  }

  GatewayContact describedAs(HostDescription news) {
    return new GatewayContact(news, held, connected, since, feeder);
  }

  GatewayContact feeding(boolean feeds) {
    return new GatewayContact(host, held, connected, since, feeds);
  }
}
