package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;

/** Holds the flags that name control hosts by any address of theirs. Not thread safe. */
final class SeedFlags {

  @Parameter(
      names = "--seed",
      description =
          "HOST:PORT of a control host; only HOST counts: its peer port is that of this host, and"
              + " HOST is its host id")
  private List<String> seed = new ArrayList<>();

  /** Returns the peer addresses of all control hosts that are named. */
  List<HostAddress> controls(List<HostAddress> named, HostAddress peer) throws SettingException {
    List<HostAddress> seeds = Settings.addresses("--seed", seed);
    return Stream.concat(
            named.stream(), seeds.stream().map(s -> new HostAddress(s.host(), peer.port())))
        .toList();
  }

  /** Returns the host ids of the seeds. */
  List<HostId> ids() throws SettingException {
    List<HostId> ids = new ArrayList<>();
    for (HostAddress address : Settings.addresses("--seed", seed)) {
      ids.add(Settings.checked("--seed", address.host(), HostId::new));
    }
    return ids;
  }
}
