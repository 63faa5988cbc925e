package org.cuminwell.standin;

import com.beust.jcommander.Parameter;
import java.util.ArrayList;
import java.util.List;

/** Holds the settings that engines and plain services share. Confined to the start-up thread. */
class StandinFlags {

  @Parameter(names = "--listen", required = true, description = "HOST:PORT to serve at")
  String listen = "";

  @Parameter(names = "--endpoint", required = true, description = "the name to announce")
  String endpoint = "";

  @Parameter(names = "--region", required = true, description = "the region to announce")
  String region = "";

  @Parameter(names = "--data-centre", required = true, description = "the data centre to announce")
  String dataCentre = "";

  @Parameter(names = "--serves", required = true, description = "models or services to announce")
  List<String> serves = new ArrayList<>();

  @Parameter(names = "--gateways", description = "inner HOST:PORT of the gateways to announce to")
  List<String> gateways = new ArrayList<>();

  @Parameter(names = "--version", description = "the version to announce")
  String version = "v1";

  @Parameter(names = "--capacity", description = "how many requests run at once")
  int capacity = 16;

  @Parameter(names = "--first-token-ms", description = "time to the first token, in milliseconds")
  int firstTokenMillis = 20;

  @Parameter(names = "--token-ms", description = "time between tokens, in milliseconds")
  int tokenMillis = 5;
}
