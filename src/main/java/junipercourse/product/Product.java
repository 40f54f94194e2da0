package junipercourse.product;

import junipercourse.fleet.FleetConfig;

/**
 * The settings of the product file, which the platform's configuration does not contain.
 *
 * @param fleet null if this dispatcher runs without a fleet
 */
public record Product(FleetConfig fleet) {}
