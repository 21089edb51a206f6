package tillerlink.messages.statements;

import java.util.List;

/**
 * The identification of a voter in its messages to other voters.
 *
 * @param voters a hash of the configured voters; messages with another hash are ignored
 * @param disk the number that was assigned to the voter's disk when it was empty
 * @param boots the number of times that the voter has started on that disk
 * @param seen the highest number of starts that it knows of each voter, in the order of the voters'
 *     names
 */
public record Stamp(long voters, long disk, long boots, List<Long> seen) {
  /** Creates a stamp with a copy of the list. */
  public Stamp {
    seen = List.copyOf(seen);
  }
}
