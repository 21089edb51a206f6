package tillerlink.messages.statements;

import java.util.List;

/**
 * How a voter identifies itself to the others.
 *
 * @param voters a hash of the configured voters; messages of voters with other ones are ignored
 * @param disk the number that its disk was given when it was empty
 * @param boots how often it has started on that disk
 * @param seen the highest boots that it knows of each voter, in the order of the voters' names
 */
public record Stamp(long voters, long disk, long boots, List<Long> seen) {
  /** Copies the list. */
  public Stamp {
    seen = List.copyOf(seen);
  }
}
