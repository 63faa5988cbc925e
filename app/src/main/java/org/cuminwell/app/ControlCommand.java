package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.shell.control.AgreementSettings;
import org.cuminwell.shell.control.ControlProcess;
import org.cuminwell.shell.control.ControlSettings;
import org.cuminwell.shell.control.OperatorAccess;

/** Runs a control host. */
@Parameters(commandDescription = "Run a control host that keeps the tickets")
final class ControlCommand implements ProcessCommand {

  @Parameter(names = "--host-id", required = true, description = "name of this host")
  private String hostId = "";

  @Parameter(names = "--http", required = true, description = "HOST:PORT for operators")
  private String http = "";

  @Parameter(
      names = "--peer",
      required = true,
      description = "HOST:PORT for messages of the system's own processes")
  private String peer = "";

  @Parameter(
      names = "--control",
      description = "peer HOST:PORT of control hosts to ask; they name the others")
  private List<String> control = new ArrayList<>();

  @Parameter(
      names = "--data",
      required = true,
      description = "folder for the journal, on a disk of this host and used by nobody else")
  private String data = "";

  @Parameter(
      names = "--voter",
      description =
          "host id of each control host that founds the cluster, this one among them; the same on"
              + " all of them, and without effect once a cluster is founded")
  private List<String> voter = new ArrayList<>();

  @Parameter(
      names = "--bootstrap",
      description = "found a new cluster if the folders of all control hosts are empty")
  private boolean bootstrap;

  @Parameter(
      names = "--operators-file",
      description =
          "file of lines NAME SHA256 of those who may operate; without it anyone who reaches --http")
  private String operatorsFile = "";

  @Parameter(
      names = "--stop-timeout-s",
      description = "how long the process may take to end after SIGTERM, in seconds")
  private double stopTimeoutSeconds = 10;

  @ParametersDelegate private final TlsFlags tls = new TlsFlags();

  @ParametersDelegate private final SeedFlags seeds = new SeedFlags();

  @ParametersDelegate private final PlatformFlags platform = new PlatformFlags();

  @ParametersDelegate private final DutyFlags duties = new DutyFlags();

  @Override
  public int run() throws SettingException, InterruptedException {
    ControlProcess process = ControlProcess.start(settings());
    Shutdown.awaitSignal(
        () -> process.stop(Duration.ofMillis((long) (stopTimeoutSeconds * 1_000))));
    return OK;
  }

  @Override
  public ControlSettings settings() throws SettingException {
    if (stopTimeoutSeconds < 0) {
      throw new SettingException("--stop-timeout-s", "must be 0 or more");
    }
    HostAddress peerAddress = Settings.checked("--peer", peer, HostAddress::parse);
    return new ControlSettings(
        Settings.checked("--host-id", hostId, HostId::new),
        Settings.checked("--http", http, HostAddress::parse),
        peerAddress,
        seeds.controls(Settings.addresses("--control", control), peerAddress),
        agreement(),
        access(),
        platform.fronts(),
        tls.files(),
        duties.settings());
  }

  private OperatorAccess access() throws SettingException {
    if (operatorsFile.isEmpty()) {
      return OperatorAccess.unrestricted();
    }
    try {
      return OperatorAccess.read(Path.of(operatorsFile));
    } catch (IOException e) {
      throw new SettingException("--operators-file", "can't use it: " + e.getMessage());
    }
  }

  private AgreementSettings agreement() throws SettingException {
    HostId self = Settings.checked("--host-id", hostId, HostId::new);
    Set<HostId> voters = new TreeSet<>();
    for (String id : voter) {
      voters.add(Settings.checked("--voter", id, HostId::new));
    }
    voters.addAll(seeds.ids());
    if (voters.isEmpty() && control.size() <= 1) {
      voters.add(self);
    }
    boolean votes = voters.contains(self);
    if (bootstrap && !votes && seeds.ids().isEmpty()) {
      throw new SettingException("--voter", "must name every founding control host, also " + self);
    }
    return new AgreementSettings(
        Settings.checked("--data", data, Path::of), voters, bootstrap && votes);
  }
}
