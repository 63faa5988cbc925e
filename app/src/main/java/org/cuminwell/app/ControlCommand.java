package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.util.ArrayList;
import java.util.List;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.HostId;
import org.cuminwell.shell.control.ControlProcess;
import org.cuminwell.shell.control.ControlSettings;

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

  @Parameter(names = "--control", description = "peer HOST:PORT of each control host")
  private List<String> control = new ArrayList<>();

  @ParametersDelegate private final TlsFlags tls = new TlsFlags();

  @Override
  public int run() throws SettingException, InterruptedException {
    ControlProcess process = ControlProcess.start(settings());
    Shutdown.awaitSignal(process::close);
    return OK;
  }

  @Override
  public ControlSettings settings() throws SettingException {
    return new ControlSettings(
        Settings.checked("--host-id", hostId, HostId::new),
        Settings.checked("--http", http, HostAddress::parse),
        Settings.checked("--peer", peer, HostAddress::parse),
        Settings.addresses("--control", control),
        tls.files());
  }
}
