package org.cuminwell.shell.gateway;

import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.cuminwell.core.config.Configuration;
import org.cuminwell.shell.duty.Duty;
import org.cuminwell.shell.duty.Ring;
import org.jspecify.annotations.Nullable;

/**
 * Writes configurations to the disk on a thread of its own, so that no decision waits for it.
 *
 * <p>While one is being written only the latest of those that follow is kept for the next write. A
 * failed write is logged once until one succeeds; the gateway goes on without it. Thread safe.
 */
final class ConfigurationKeeper implements AutoCloseable {

  private static final System.Logger LOG = System.getLogger(ConfigurationKeeper.class.getName());

  private final Optional<ConfigurationStore> store;
  private final AtomicReference<@Nullable Configuration> latest = new AtomicReference<>();
  private final Ring<Boolean> wake = new Ring<>(1);
  private final Duty<Boolean> duty;
  private boolean failing;

  ConfigurationKeeper(Optional<ConfigurationStore> store) {
    this.store = store;
    this.duty = Duty.start("keep", wake, this::write);
  }

  /** Has the configuration written soon, if there is a disk. */
  void keep(Configuration configuration) {
    latest.set(configuration);
    wake.offer(true);
  }

  @Override
  public void close() {
    duty.close();
  }

  private void write(Boolean woken) {
    Configuration next = latest.getAndSet(null);
    if (next == null || store.isEmpty()) {
      return;
    }
    try {
      store.get().keep(next);
      failing = false;
    } catch (UncheckedIOException e) {
      if (!failing) {
        LOG.log(System.Logger.Level.ERROR, "the configuration is not on the disk", e);
      }
      failing = true;
    }
  }
}
