package org.cuminwell.core.membership;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Predicate;
import org.cuminwell.core.crash.EndpointIncarnation;
import org.cuminwell.core.membership.MembershipMessage.Item;
import org.cuminwell.core.model.EndpointId;

/**
 * Tracks the endpoints that one peer renews together.
 *
 * <p>Invariant: while it is complete it holds exactly the endpoints that the peer has sent and not
 * marked as stale since; while it is incomplete it holds none. Not thread safe: the exchange owns
 * it.
 */
final class RenewableEndpoints {

  private final Map<EndpointId, Long> incarnations = new HashMap<>();
  private boolean isComplete;

  /** Clears the endpoints before a full update is applied, which makes it complete. */
  void beginFullUpdate() {
    incarnations.clear();
    isComplete = true;
  }

  /** Clears the endpoints because an update was missed. */
  void invalidate() {
    incarnations.clear();
    isComplete = false;
  }

  /** Applies an item of the next update. */
  void apply(Item item) {
    if (!isComplete) {
      return;
    }
    switch (item) {
      case Item.Announced i ->
          incarnations.put(i.announcement().endpoint(), i.announcement().incarnation());
      case Item.Renewed i -> incarnations.put(i.endpoint(), i.incarnation());
      case Item.Stale i -> incarnations.remove(i.endpoint(), i.incarnation());
      case Item.AllRenewed i -> {}
      case Item.Paused i -> {}
      case Item.Leaving i -> {}
    }
  }

  /**
   * Renews each endpoint, removes those that can't be renewed, and returns whether all were
   * renewed.
   *
   * @param renewal renews one incarnation and returns whether it was known
   */
  boolean renewAll(Predicate<EndpointIncarnation> renewal) {
    boolean renewed = isComplete;
    Iterator<Map.Entry<EndpointId, Long>> entries = incarnations.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<EndpointId, Long> entry = entries.next();
      if (!renewal.test(new EndpointIncarnation(entry.getKey(), entry.getValue()))) {
        entries.remove();
        renewed = false;
      }
    }
    return renewed;
  }
}
