package org.cuminwell.core.limit;

import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.Region;

/**
 * Computes the floor of each limit: the fraction that every entry host may use without a grant.
 *
 * <p>The floors of all data centres that may serve a customer sum to {@link #FLOOR_FRACTION} of its
 * limit. Within a data centre the floor is split evenly over its slots for entry hosts, used or
 * not, so that hosts need no messages to agree on it. Invariant: as long as no data centre has more
 * entry hosts than slots and all hosts use the same configuration, the floors in use sum to at most
 * that fraction. The granter divides the rest. Stateless and thread safe.
 */
public final class Floors {

  /** Fraction of rate and burst that is reserved for floors. */
  public static final double FLOOR_FRACTION = 0.1;

  /** Default number of entry hosts that a data centre may have. */
  public static final int DEFAULT_SLOTS = 8;

  private Floors() {}

  /**
   * Returns the fraction of the customer's limit that is the floor of one entry host; 0 if the
   * customer or the configuration excludes its data centre.
   *
   * @param slots how many entry hosts the data centre may have
   */
  public static double fraction(
      Customer customer, Configuration configuration, Place place, int slots) {
    if (!mayServe(customer, place)) {
      return 0;
    }
    long dataCentres =
        configuration.regions().values().stream()
            .filter(region -> mayServe(customer, region))
            .mapToLong(region -> region.dataCentres().size())
            .sum();
    boolean isConfigured =
        configuration.regions().containsKey(place.region())
            && configuration
                .regions()
                .get(place.region())
                .dataCentres()
                .contains(place.dataCentre());
    return isConfigured ? FLOOR_FRACTION / (double) dataCentres / slots : 0;
  }

  /** Returns the part of {@code total} that is not reserved for floors, rounded down. */
  public static long grantable(long total) {
    return (long) Math.floor((double) total * (1 - FLOOR_FRACTION));
  }

  private static boolean mayServe(Customer customer, Place place) {
    return customer.boundTo().isEmpty() || customer.boundTo().contains(place.region());
  }

  private static boolean mayServe(Customer customer, Region region) {
    return customer.boundTo().isEmpty() || customer.boundTo().contains(region.id());
  }
}
