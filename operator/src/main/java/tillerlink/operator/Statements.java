package tillerlink.operator;

import java.util.List;

/**
 * The part <code>statements</code>: prepared statements that are kept right while schemas change.
 *
 * @param voters the gateways of which a majority grants leases, by name; an odd number of them
 * @param lease how long one lasts, in tenths of a millisecond
 * @param drift by which share two clocks may run apart at the most
 * @param fence whether the engines of this installation check versions themselves
 */
public record Statements(List<String> voters, long lease, double drift, boolean fence) {
  private static final int VOTERS_MOST = 15;

  static Statements read(Section section) {
    if (section == null) {
      return null;
    }
    Statements statements =
        new Statements(
            Names.list(section, "voters", VOTERS_MOST),
            Math.round(section.number("lease_ms", 100, 600_000, 3000) * Units.TENTHS_PER_MS),
            section.number("drift", 0, 0.2, 0.01),
            section.flag("fence", false));
    if (!statements.voters.isEmpty() && statements.voters.size() % 2 == 0) {
      section.faultAt(
          "voters", "an even number of voters bears no more failures than one voter fewer");
    }
    section.close();
    return statements;
  }
}
