package tillerlink.messages.statements;

import java.util.List;
import java.util.SortedMap;

/** What gateways say to each other about prepared statements. */
public sealed interface StatementMessage {
  /**
   * How far a voter has come since its disk was empty. The order is that of the wire: new ones come
   * last.
   */
  enum Stage {
    FRESH,
    PLEDGED,
    FOUNDED,
    LOST
  }

  /** A voter that starts asks the others what they know of it. */
  record Hello(Stamp stamp, long nonce, Stage stage) implements StatementMessage {}

  /**
   * The answer.
   *
   * @param known the highest boots of the asker on that disk
   * @param mark the furthest that the asker showed: its term
   * @param match and how much of the log it said to have in it
   * @param pledge the disks that it pledged itself to, in the order of the voters' names
   * @param members the disks that vote, as far as it knows, in the same order
   * @param version the index of the log that {@code members} dates from
   */
  record Seen(
      Stamp stamp,
      long nonce,
      Stage stage,
      long known,
      long mark,
      long match,
      long term,
      long lastTerm,
      long lastIndex,
      List<Long> pledge,
      List<Long> members,
      long version)
      implements StatementMessage {}

  /**
   * @param pre asks only whether it would be given, so that a voter that comes back disturbs nobody
   */
  record AskVote(Stamp stamp, long term, long lastTerm, long lastIndex, boolean pre)
      implements StatementMessage {}

  record Vote(Stamp stamp, long term, boolean pre, boolean given) implements StatementMessage {}

  record Append(
      Stamp stamp,
      long term,
      long sequence,
      long prevIndex,
      long prevTerm,
      long commit,
      List<Entry> entries)
      implements StatementMessage {}

  /**
   * @param fits whether the entry before was there
   * @param match how much of the leader's log is durable there, or where to try next
   */
  record Appended(Stamp stamp, long term, long sequence, boolean fits, long match)
      implements StatementMessage {}

  /** The log before that index is gone; the state there is had by pieces. */
  record Offer(Stamp stamp, long term, long index, long size) implements StatementMessage {}

  record AskPiece(long index, long offset, long most) implements StatementMessage {}

  /**
   * @param size 0 if the state at that index is no longer held
   */
  record Piece(long index, long offset, long size, byte[] bytes) implements StatementMessage {}

  /** A gateway that doesn't vote asks for what is committed. */
  record Fetch(long from) implements StatementMessage {}

  /**
   * @param snapshot if there are no entries: the index of a state that is to be fetched first
   */
  record Committed(long from, List<Entry> entries, long commit, long snapshot, long size)
      implements StatementMessage {}

  /**
   * @param onward already passed on by a voter
   */
  record Propose(long origin, long number, Command command, boolean onward)
      implements StatementMessage {}

  /**
   * @param groups schema versions that leases are asked for
   */
  record AskLease(long holder, long sequence, SortedMap<Integer, Long> groups)
      implements StatementMessage {}

  /**
   * @param blocked groups of the asked-for that a change is announced for
   */
  record Lease(
      long holder,
      long sequence,
      long disk,
      long version,
      List<Long> members,
      SortedMap<Integer, Long> granted,
      List<Integer> blocked,
      long commit)
      implements StatementMessage {}

  /** All leases on these groups that were asked for up to that sequence number are given back. */
  record Release(long holder, long sequence, List<Integer> groups) implements StatementMessage {}

  /** No lease that the voter granted stands in the way of these changes, and none will. */
  record Clear(Stamp stamp, List<Long> changes) implements StatementMessage {}

  /** A request that can't be taken up now. */
  record Busy(long origin, long number, String words) implements StatementMessage {}
}
