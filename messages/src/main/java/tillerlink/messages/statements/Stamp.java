package tillerlink.messages.statements;

import java.util.List;

/**
 * How a voter shows itself to the others.
 *
 * @param voters a hash of the stated voters; those with another list are not listened to
 * @param disk the number that its disk got when it was empty
 * @param boots how often it started on that disk
 * @param seen the highest boots of each voter that it knows of, in the order of the voters' names
 */
public record Stamp(long voters, long disk, long boots, List<Long> seen) {
  public Stamp {
    seen = List.copyOf(seen);
  }
}
