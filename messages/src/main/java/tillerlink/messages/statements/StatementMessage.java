package tillerlink.messages.statements;

import java.util.List;
import java.util.SortedMap;
import tillerlink.messages.Numbered;

/** Messages between gateways about prepared statements. */
public sealed interface StatementMessage {
  /** How far a voter has come since its disk was empty. */
  enum Stage implements Numbered {
    /** Its disk is empty. */
    FRESH(0),
    /** It has pledged itself to the disks that are to found the group. */
    PLEDGED(1),
    /** It is a member of the founded group. */
    FOUNDED(2),
    /** Its disk was lost, or is an old copy. */
    LOST(3);

    private final int number;

    Stage(int number) {
      this.number = number;
    }

    @Override
    public int number() {
      return number;
    }
  }

  /**
   * A voter that starts asks the others what they know of it.
   *
   * @param stamp the sender
   * @param nonce of the question; the answer bears the same
   * @param stage how far the sender has come
   */
  record Hello(Stamp stamp, long nonce, Stage stage) implements StatementMessage {}

  /**
   * The answer to a {@link Hello}.
   *
   * @param stamp the sender
   * @param nonce of the question
   * @param stage how far the sender has come
   * @param known the highest boots of the asker on that disk
   * @param mark the highest term that the asker showed
   * @param match how much of the log it said to have in that term
   * @param term the sender's term
   * @param lastTerm the term of the sender's last entry
   * @param lastIndex the index of the sender's last entry
   * @param pledge the disks that the sender pledged itself to, in the order of the voters' names
   * @param members the disks that vote, as far as the sender knows, in the same order
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
   * Raft's request for a vote.
   *
   * @param stamp the candidate
   * @param term the candidate's term
   * @param lastTerm the term of its last entry
   * @param lastIndex the index of its last entry
   * @param pre a pre-vote: asks only whether the vote would be granted, so that a voter that
   *     rejoins disturbs nobody
   */
  record AskVote(Stamp stamp, long term, long lastTerm, long lastIndex, boolean pre)
      implements StatementMessage {}

  /**
   * The response to an {@link AskVote}.
   *
   * @param stamp the sender
   * @param term the term that was asked for, or the sender's if it is higher
   * @param pre whether it responds to a pre-vote
   * @param given whether the vote is granted
   */
  record Vote(Stamp stamp, long term, boolean pre, boolean given) implements StatementMessage {}

  /**
   * Raft's request to append entries; also the heartbeat.
   *
   * @param stamp the leader
   * @param term the leader's term
   * @param sequence the number of the request
   * @param prevIndex the index of the entry before {@code entries}
   * @param prevTerm the term of that entry
   * @param commit the leader's commit index
   * @param entries the entries to append, none in a heartbeat
   */
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
   * The response to an {@link Append}.
   *
   * @param stamp the sender
   * @param term the sender's term
   * @param sequence the number of the request
   * @param fits whether the entry before was there
   * @param match how much of the leader's log is durable there, or where to try next
   */
  record Appended(Stamp stamp, long term, long sequence, boolean fits, long match)
      implements StatementMessage {}

  /**
   * The log up to an index is compacted; the snapshot there is to be fetched instead.
   *
   * @param stamp the leader
   * @param term the leader's term
   * @param index the last index that the snapshot covers
   * @param size of the snapshot, in bytes
   */
  record Offer(Stamp stamp, long term, long index, long size) implements StatementMessage {}

  /**
   * Requests a piece of a snapshot.
   *
   * @param index the last index that the snapshot covers
   * @param offset of the piece, in bytes
   * @param most bytes of the piece at the most
   */
  record AskPiece(long index, long offset, long most) implements StatementMessage {}

  /**
   * A piece of a snapshot.
   *
   * @param index the last index that the snapshot covers
   * @param offset of the piece, in bytes
   * @param size of the whole snapshot, in bytes; 0 if it is no longer there
   * @param bytes the piece
   */
  record Piece(long index, long offset, long size, byte[] bytes) implements StatementMessage {}

  /** A learner requests committed entries from an index on. */
  record Fetch(long from) implements StatementMessage {}

  /**
   * The response to a {@link Fetch}.
   *
   * @param from the index that was asked for
   * @param entries committed entries from there on
   * @param commit the sender's commit index
   * @param snapshot if there are no entries: the index of a snapshot that is to be fetched first
   * @param size of that snapshot, in bytes
   */
  record Committed(long from, List<Entry> entries, long commit, long snapshot, long size)
      implements StatementMessage {}

  /**
   * Asks the leader to append a command.
   *
   * @param origin the process that requests it
   * @param number of the request there
   * @param command the command
   * @param onward whether a voter has forwarded it already
   */
  record Propose(long origin, long number, Command command, boolean onward)
      implements StatementMessage {}

  /**
   * Requests leases on schema versions.
   *
   * @param holder the process that requests them
   * @param sequence the number of the request there
   * @param groups table groups, each with the schema version that a lease is requested for
   */
  record AskLease(long holder, long sequence, SortedMap<Integer, Long> groups)
      implements StatementMessage {}

  /**
   * The response to an {@link AskLease}.
   *
   * @param holder the process that requested
   * @param sequence the number of the request there
   * @param disk the disk of the voter that grants
   * @param version the index of the log that {@code members} dates from
   * @param members the disks that vote
   * @param granted table groups, each with the schema version that a lease is granted for
   * @param blocked requested groups that a change is announced for
   * @param commit the voter's commit index
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

  /** Returns all leases on these groups that were requested up to that sequence number. */
  record Release(long holder, long sequence, List<Integer> groups) implements StatementMessage {}

  /**
   * No lease that the voter granted prevents these changes, and it grants none that would.
   *
   * @param stamp the voter
   * @param changes the indexes of their announcements
   */
  record Clear(Stamp stamp, List<Long> changes) implements StatementMessage {}

  /**
   * A proposal can't be accepted now.
   *
   * @param origin the process that requested it
   * @param number of the request there
   * @param words why, for people
   */
  record Busy(long origin, long number, String words) implements StatementMessage {}
}
