package tillerlink.operator;

import java.util.List;

/**
 * The block <code>statements</code>: prepared statements that stay valid while schemas change.
 *
 * @param voters the names of the gateways of which a majority grants leases; an odd number
 * @param lease the duration of a lease, in tenths of a millisecond
 * @param drift the greatest relative drift between two clocks
 * @param fence whether engines check versions themselves (fencing)
 */
public record StatementsConfig(List<String> voters, long lease, double drift, boolean fence) {
  private static final int MAX_VOTERS = 15;

  static StatementsConfig read(Section section) {
    if (section == null) {
      return null;
    }
    StatementsConfig statements =
        new StatementsConfig(
            NameRules.list(section, "voters", MAX_VOTERS),
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
