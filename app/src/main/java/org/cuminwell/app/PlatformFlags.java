package org.cuminwell.app;

import com.beust.jcommander.Parameter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cuminwell.core.model.DataCentreId;
import org.cuminwell.core.model.ExposureBounds;
import org.cuminwell.core.model.HostAddress;
import org.cuminwell.core.model.RegionId;
import org.cuminwell.platform.ControlFront;
import org.cuminwell.platform.QuotaTolerance;
import org.cuminwell.platform.Regions;
import org.cuminwell.shell.control.AdditionalFrontEnd;

/** Holds the flags of a control host that serves the users' platform. Not thread safe. */
final class PlatformFlags {

  @Parameter(
      names = "--platform",
      description = "HOST:PORT for the calls of the platform's operators, servers and callers")
  private List<String> platform = new ArrayList<>();

  @Parameter(
      names = "--data-centre-region",
      description = "DATA-CENTRE=REGION, for each data centre of the deployment")
  private List<String> dataCentres = new ArrayList<>();

  @Parameter(
      names = "--announcement-life-ms",
      description = "how long an endpoint counts after it was last heard, in milliseconds")
  private long announcementLifeMillis = 10_000;

  @Parameter(
      names = "--limit-overshoot",
      description = "by which part of itself a customer's quota may be exceeded")
  private double limitOvershoot = QuotaTolerance.NONE.overshoot();

  @Parameter(
      names = "--limit-slack",
      description = "by how many tokens a customer's quota may be exceeded besides")
  private double limitSlack = QuotaTolerance.NONE.slackTokens();

  @Parameter(
      names = "--exposure-share",
      description = "the part of a service's requests that a version may get before it is proven")
  private double exposureShare = ExposureBounds.DEFAULT.share();

  @Parameter(
      names = "--exposure-slack",
      description = "how many requests beyond that part such a version may get")
  private double exposureSlack = ExposureBounds.DEFAULT.slackRequests();

  /** Returns what serves the platform, if anything does. */
  List<AdditionalFrontEnd> fronts() throws SettingException {
    Regions regions = parseRegions("--data-centre-region", dataCentres);
    Duration life = Duration.ofMillis(announcementLifeMillis);
    if (!life.isPositive()) {
      throw new SettingException("--announcement-life-ms", "must be 1 or more");
    }
    QuotaTolerance tolerance = tolerance();
    ExposureBounds exposure = exposure();
    List<AdditionalFrontEnd> fronts = new ArrayList<>();
    for (HostAddress address : Settings.addresses("--platform", platform)) {
      fronts.add(
          new AdditionalFrontEnd(
              address, requests -> new ControlFront(requests, regions, tolerance, exposure, life)));
    }
    return fronts;
  }

  private QuotaTolerance tolerance() throws SettingException {
    try {
      return new QuotaTolerance(limitOvershoot, limitSlack);
    } catch (IllegalArgumentException e) {
      throw new SettingException("--limit-overshoot, --limit-slack", e);
    }
  }

  private ExposureBounds exposure() throws SettingException {
    try {
      return new ExposureBounds(exposureShare, exposureSlack);
    } catch (IllegalArgumentException e) {
      throw new SettingException("--exposure-share, --exposure-slack", e);
    }
  }

  /**
   * Returns the regions that a list of DATA-CENTRE=REGION states.
   *
   * @throws SettingException if an item has another form
   */
  static Regions parseRegions(String flag, List<String> dataCentres) throws SettingException {
    Map<DataCentreId, RegionId> regions = new HashMap<>();
    for (String text : dataCentres) {
      String[] parts = text.split("=", -1);
      if (parts.length != 2) {
        throw new SettingException(flag, "must be DATA-CENTRE=REGION; found '" + text + "'");
      }
      regions.put(
          Settings.checked(flag, parts[0], DataCentreId::new),
          Settings.checked(flag, parts[1], RegionId::new));
    }
    return new Regions(regions);
  }
}
