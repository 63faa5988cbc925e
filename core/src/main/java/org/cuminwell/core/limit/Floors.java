package org.cuminwell.core.limit;

import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.Region;

/**
 * Computes the floor of each limit: the fraction that every entry host may use without a grant.
 *
 * <p>The floors of all data centres that may serve a customer sum to {@link #TOTAL_FLOOR_FRACTION}
 * of its limit. Within a data centre the floor is divided by the maximum number of entry hosts,
 * however many run, so that hosts need no messages to agree on it. Invariant: as long as all hosts
 * of a data centre are given the same maximum, no data centre has more entry hosts than that, and
 * all hosts use the same configuration, the floors in use sum to at most that fraction. {@link
 * LimitAllocator} grants the rest as shares. Stateless and thread safe.
 */
public final class Floors {

  /** Fraction of a limit's rate and burst that is reserved for the floors of all entry hosts. */
  public static final double TOTAL_FLOOR_FRACTION = 0.1;

  /** Default maximum number of entry hosts in a data centre. */
  public static final int DEFAULT_MAX_ENTRY_HOSTS = 8;

  private Floors() {}

  /**
   * Returns the fraction of the customer's limit that is the floor of one entry host; 0 if the
   * customer or the configuration excludes its data centre.
   *
   * @param place the region and data centre of the entry host
   * @param maxEntryHosts the maximum number of entry hosts in the data centre
   */
  public static double fractionPerHost(
      Customer customer, Configuration configuration, Place place, int maxEntryHosts) {
    if (!isAllowedIn(customer, place)) {
      return 0;
    }
    long dataCentres =
        configuration.regions().values().stream()
            .filter(region -> isAllowedIn(customer, region))
            .mapToLong(region -> region.dataCentres().size())
            .sum();
    boolean isConfigured =
        configuration.regions().containsKey(place.region())
            && configuration
                .regions()
                .get(place.region())
                .dataCentres()
                .contains(place.dataCentre());
    return isConfigured ? TOTAL_FLOOR_FRACTION / (double) dataCentres / maxEntryHosts : 0;
  }

  /**
   * Returns the part of a limit that is not reserved for floors, rounded down.
   *
   * @param total the rate in tokens per second, or the burst in tokens
   */
  public static long grantable(long total) {
    return (long) Math.floor((double) total * (1 - TOTAL_FLOOR_FRACTION));
  }

  private static boolean isAllowedIn(Customer customer, Place place) {
    return customer.boundTo().isEmpty() || customer.boundTo().contains(place.region());
  }

  private static boolean isAllowedIn(Customer customer, Region region) {
    return customer.boundTo().isEmpty() || customer.boundTo().contains(region.id());
  }
}
