package tillerlink.operator;

import java.util.List;

/**
 * The settings of the block {@code statements}: prepared statements that remain valid while schemas
 * change.
 *
 * @param voters the names of the gateways whose majority grants leases; an odd number
 * @param lease the duration of a lease, in tenths of a millisecond
 * @param drift the maximum relative drift between two clocks
 * @param fence whether engines check the versions of schemas themselves (fencing)
 */
public record StatementsConfig(List<String> voters, long lease, double drift, boolean fence) {
  private static final int MAX_VOTERS = 15;

  /**
   * Reads the block.
   *
   * @return null if the block is absent
   */
  static StatementsConfig read(Section section) {
    if (section == null) {
      return null;
    }
    StatementsConfig statements =
        new StatementsConfig(
            NameRules.readList(section, "voters", MAX_VOTERS),
            Math.round(section.number("lease_ms", 100, 600_000, 3000) * Units.TENTHS_PER_MS),
            section.number("drift", 0, 0.2, 0.01),
            section.flag("fence", false));
    if (!statements.voters.isEmpty() && statements.voters.size() % 2 == 0) {
      section.errorAt(
          "voters",
          "'voters' has "
              + statements.voters.size()
              + " names, expected an odd number: an even number tolerates no more failures than one"
              + " voter fewer");
    }
    section.reportUnknown();
    return statements;
  }
}
