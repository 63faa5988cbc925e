package org.cuminwell.shell.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.cuminwell.core.limit.ShareLogEvent;

/** Writes which shares a gateway may use, one JSON object a line. Stateless and thread safe. */
final class ShareLog {

  private static final System.Logger LOG = System.getLogger("org.cuminwell.share");

  private ShareLog() {}

  static void write(ShareLogEvent event) {
    LOG.log(System.Logger.Level.INFO, line(event).toString());
  }

  static ObjectNode line(ShareLogEvent event) {
    ObjectNode line = JsonNodeFactory.instance.objectNode();
    return switch (event) {
      case ShareLogEvent.LeaderFollowed e ->
          line.put("shares", "follow").put("leader", e.leader().value()).put("epoch", e.epoch());
      case ShareLogEvent.SharesAdopted e ->
          line.put("shares", "adopted")
              .put("epoch", e.epoch())
              .put("lease_left_ms", e.leaseLeft().toMillis());
      case ShareLogEvent.LeaseExpired e ->
          line.put("shares", "expired").put("epoch", e.epoch()).put("grant_epoch", e.grantEpoch());
    };
  }
}
