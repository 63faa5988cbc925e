package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cuminwell.core.directory.HostDescription;
import org.cuminwell.core.duty.Duty;
import org.cuminwell.core.limit.Floors;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.shell.forward.ForwardSettings;
import org.cuminwell.shell.gateway.GatewayProcess;
import org.cuminwell.shell.gateway.GatewaySettings;

/** Runs an entry host. */
@Parameters(commandDescription = "Run an entry host that serves callers")
final class GatewayCommand implements ProcessCommand {

  @Parameter(names = "--host-id", required = true, description = "name of this host")
  private String hostId = "";

  @Parameter(names = "--region", required = true, description = "region of this host")
  private String region = "";

  @Parameter(names = "--data-centre", required = true, description = "data centre of this host")
  private String dataCentre = "";

  @Parameter(names = "--http", description = "HOST:PORT for callers")
  private String http = "";

  @ParametersDelegate private final ForwardFlags forward = new ForwardFlags();

  @Parameter(
      names = "--inner",
      required = true,
      description = "HOST:PORT for endpoints, other gateways and monitoring")
  private String inner = "";

  @Parameter(
      names = "--peer",
      required = true,
      description = "HOST:PORT for messages of the system's own processes")
  private String peer = "";

  @Parameter(names = "--control", description = "peer HOST:PORT of each control host")
  private List<String> control = new ArrayList<>();

  @ParametersDelegate private final SeedFlags seeds = new SeedFlags();

  @ParametersDelegate private final TlsFlags tls = new TlsFlags();

  @Parameter(
      names = "--floor-slots",
      description =
          "the most entry hosts that this data centre may have; the same on each of them. The part"
              + " of limits that needs no control host is split over them")
  private int floorSlots = Floors.DEFAULT_MAX_ENTRY_HOSTS;

  @Parameter(
      names = "--neighbour",
      description = "peer HOST:PORT of gateways of this data centre, for a start while cut off")
  private List<String> neighbour = new ArrayList<>();

  @Parameter(names = "--data", description = "folder that keeps the last configuration on disk")
  private String data = "";

  @Parameter(
      names = "--stop-timeout-s",
      description = "how long the process may take to end after SIGTERM, in seconds")
  private double stopTimeoutSeconds = 120;

  @Parameter(
      names = "--duty",
      description = "duty of the control hosts, of which some need counts of the gateways")
  private List<String> duty = new ArrayList<>();

  @Parameter(
      names = "--usage-window-s",
      description = "the length of the windows of usage reports, in seconds")
  private double usageWindowSeconds = DutyFlags.DEFAULT_USAGE_WINDOW_SECONDS;

  @Override
  public int run() throws SettingException, InterruptedException {
    GatewayProcess process = GatewayProcess.start(settings());
    Shutdown.awaitSignal(
        () -> process.stop(Duration.ofMillis((long) (stopTimeoutSeconds * 1_000))));
    return OK;
  }

  /** Returns where callers reach this host, for one interface or the other. */
  private HostAddress callers() throws SettingException {
    Optional<ForwardSettings> forwarding = forward.settings();
    if (forwarding.isPresent() != http.isEmpty()) {
      throw new SettingException("--http", "give either --http or --forward");
    }
    return forwarding.isPresent()
        ? forwarding.get().callerAddress()
        : Settings.checked("--http", http, HostAddress::parse);
  }

  @Override
  public GatewaySettings settings() throws SettingException {
    HostDescription self =
        new HostDescription(
            Settings.checked("--host-id", hostId, HostId::new),
            new Place(
                Settings.checked("--region", region, RegionId::new),
                Settings.checked("--data-centre", dataCentre, DataCentreId::new)),
            callers(),
            Settings.checked("--inner", inner, HostAddress::parse),
            Settings.checked("--peer", peer, HostAddress::parse),
            0,
            false);
    if (floorSlots < 1) {
      throw new SettingException("--floor-slots", "must be 1 or more");
    }
    if (stopTimeoutSeconds < 0) {
      throw new SettingException("--stop-timeout-s", "must be 0 or more");
    }
    return new GatewaySettings(
        self,
        floorSlots,
        seeds.controls(Settings.addresses("--control", control), self.peerAddress()),
        Settings.addresses("--neighbour", neighbour),
        forward.settings(),
        data.isEmpty() ? Optional.empty() : Optional.of(Settings.checked("--data", data, Path::of)),
        tls.files(),
        usageWindow());
  }

  /** Returns the windows by which requests are counted, if a duty needs it. */
  private Optional<Duration> usageWindow() throws SettingException {
    if (!DutyFlags.duties(duty).contains(Duty.USAGE_REPORT)) {
      return Optional.empty();
    }
    Duration window = DutyFlags.seconds(usageWindowSeconds);
    if (!window.isPositive()) {
      throw new SettingException("--usage-window-s", "must be 0.001 or more");
    }
    return Optional.of(window);
  }
}
