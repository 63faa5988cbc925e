package org.cuminwell.core.limit;

import org.cuminwell.core.config.Configuration;
import org.cuminwell.core.model.Customer;
import org.cuminwell.core.model.Place;
import org.cuminwell.core.model.Region;

/**
 * Splits off the part of each limit that every data centre keeps without asking anyone.
 *
 * <p>The floors of all data centres that may serve a customer sum to {@link #FLOOR_FRACTION} of its
 * limit; within a data centre the floor is split evenly over the slots for entry hosts, used or
 * not, so that no message decides who holds it. Invariant: as long as no data centre has more entry
 * hosts than slots and all hold one configuration, the floors in use sum to no more than that part.
 * The granter shares out the rest. Stateless and thread safe.
 */
public final class Floors {

  /** The part of rate and burst that is split off for floors. */
  public static final double FLOOR_FRACTION = 0.1;

  /** How many entry hosts a data centre may have, unless a setting says otherwise. */
  public static final int DEFAULT_SLOTS = 8;

  private Floors() {}

  /**
   * Returns the fraction of the customer's limit that one entry host keeps as its floor.
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

  /** Returns the part of {@code whole} that is not split off for floors, rounded down. */
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
