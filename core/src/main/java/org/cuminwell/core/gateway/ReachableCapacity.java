package org.cuminwell.core.gateway;

import java.time.Instant;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.directory.HostDirectory;
import org.cuminwell.core.membership.EndpointTable;

/**
 * Sums the announced capacity of the endpoints that a gateway can send to, and counts the gateways
 * that share it.
 *
 * <p>Not thread safe: the thread of its {@link Gateway} owns it.
 */
record ReachableCapacity(
    EndpointTable endpoints, HostDirectory directory, HostDescription self, Instant now)
    implements StartQueue.Capacity {

  @Override
  public int slots(String service) {
    return endpoints.findServing(service, now).stream()
        .mapToInt(entry -> entry.announcement().capacity())
        .sum();
  }

  /**
   * Counts the gateways of this data centre that are not stopping: endpoints announce themselves
   * within a data centre, so all its gateways send to the same ones.
   */
  @Override
  public int gatewayCount() {
    long count =
        directory.all().stream()
            .filter(host -> !host.stopping() && host.place().equals(self.place()))
            .count();
    return (int) Math.max(1, count);
  }
}
