package tillerlink.messages.statements;

import java.util.List;
import java.util.SortedMap;
import tillerlink.messages.Numbered;

/** A message between gateways about prepared statements. */
public sealed interface StatementMessage {
  /** The stage of a voter, counted from an empty disk. */
  enum Stage implements Numbered {
    /** The voter's disk is empty. */
    FRESH(0),
    /** The voter has pledged itself to the set of disks that will found the group. */
    PLEDGED(1),
    /** The voter is a member of the founded group. */
    FOUNDED(2),
    /** The voter's disk was lost or is an old copy. */
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
   * A request by which a starting voter learns from the other voters what they know of it.
   *
   * @param stamp the stamp of the sender
   * @param nonce the nonce of the request, repeated in the response
   * @param stage the stage of the sender
   */
  record Hello(Stamp stamp, long nonce, Stage stage) implements StatementMessage {}

  /**
   * The response to a {@link Hello}.
   *
   * @param stamp the stamp of the sender
   * @param nonce the nonce of the request
   * @param stage the stage of the sender
   * @param known the highest number of starts on its disk that the requester reported before
   * @param mark the highest term that the requester reported before
   * @param match the last log index that the requester reported as durable in that term
   * @param term the sender's term
   * @param lastTerm the term of the sender's last entry
   * @param lastIndex the index of the sender's last entry
   * @param pledge the disks that the sender pledged itself to, in the order of the voters' names
   * @param members the disks of the voting members known to the sender, in the same order
   * @param version the log index at which {@code members} was last changed
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
   * @param stamp the stamp of the candidate
   * @param term the candidate's term
   * @param lastTerm the term of its last entry
   * @param lastIndex the index of its last entry
   * @param pre true for a pre-vote, which only asks whether the vote would be granted, so that a
   *     rejoining voter does not disrupt the current leader
   */
  record AskVote(Stamp stamp, long term, long lastTerm, long lastIndex, boolean pre)
      implements StatementMessage {}

  /**
   * The response to an {@link AskVote}.
   *
   * @param stamp the stamp of the sender
   * @param term the term of the request, or the sender's term if it is higher
   * @param pre true for the response to a pre-vote
   * @param given true if the vote is granted
   */
  record Vote(Stamp stamp, long term, boolean pre, boolean given) implements StatementMessage {}

  /**
   * Raft's request to append entries, which also serves as the heartbeat.
   *
   * @param stamp the stamp of the leader
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
   * @param stamp the stamp of the sender
   * @param term the sender's term
   * @param sequence the number of the request
   * @param fits true if the sender's log has the entry at {@code prevIndex} of the request
   * @param match if {@code fits}, the last index of the leader's log that is durable at the sender;
   *     otherwise the index to use as {@code prevIndex} in the next request
   */
  record Appended(Stamp stamp, long term, long sequence, boolean fits, long match)
      implements StatementMessage {}

  /**
   * An offer of a snapshot, sent instead of log entries that the leader has compacted.
   *
   * @param stamp the stamp of the leader
   * @param term the leader's term
   * @param index the last log index that the snapshot covers
   * @param size the size of the snapshot, in bytes
   */
  record Offer(Stamp stamp, long term, long index, long size) implements StatementMessage {}

  /**
   * A request for a part of a snapshot.
   *
   * @param index the last log index that the snapshot covers
   * @param offset the offset of the part in the snapshot, in bytes
   * @param most the maximum size of the part, in bytes
   */
  record AskPiece(long index, long offset, long most) implements StatementMessage {}

  /**
   * A part of a snapshot.
   *
   * @param index the last log index that the snapshot covers
   * @param offset the offset of the part in the snapshot, in bytes
   * @param size the size of the whole snapshot, in bytes; 0 if the snapshot is no longer available
   * @param bytes the content of the part
   */
  record Piece(long index, long offset, long size, byte[] bytes) implements StatementMessage {}

  /** A request of a learner for committed entries, starting at the index {@code from}. */
  record Fetch(long from) implements StatementMessage {}

  /**
   * The response to a {@link Fetch}.
   *
   * @param from the first index requested
   * @param entries committed entries, starting at {@code from}
   * @param commit the sender's commit index
   * @param snapshot if {@code entries} is empty, the last index of a snapshot to fetch first
   * @param size the size of that snapshot, in bytes
   */
  record Committed(long from, List<Entry> entries, long commit, long snapshot, long size)
      implements StatementMessage {}

  /**
   * A request to the leader to append a command.
   *
   * @param origin the process that sent the request
   * @param number the number of the request at its origin
   * @param command the command
   * @param onward true if a voter has already forwarded the request
   */
  record Propose(long origin, long number, Command command, boolean onward)
      implements StatementMessage {}

  /**
   * A request for leases on schema versions.
   *
   * @param holder the process that requests the leases
   * @param sequence the number of the request at that process
   * @param groups the requested schema version of each table group
   */
  record AskLease(long holder, long sequence, SortedMap<Integer, Long> groups)
      implements StatementMessage {}

  /**
   * The response to an {@link AskLease}.
   *
   * @param holder the process that requested the leases
   * @param sequence the number of the request at that process
   * @param disk the disk of the voter that responds
   * @param version the log index at which {@code members} was last changed
   * @param members the disks of the voting members
   * @param granted the schema version of each table group that a lease is granted for
   * @param blocked the requested table groups that a change is announced for
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

  /**
   * A release of leases.
   *
   * @param holder the process that holds the leases
   * @param sequence the highest request number whose leases are released
   * @param groups the table groups whose leases are released
   */
  record Release(long holder, long sequence, List<Integer> groups) implements StatementMessage {}

  /**
   * A confirmation that no lease granted by the voter prevents these changes of the schema, and
   * that the voter grants none that would.
   *
   * @param stamp the stamp of the voter
   * @param changes the log indexes of the announcements of the changes
   */
  record Clear(Stamp stamp, List<Long> changes) implements StatementMessage {}

  /**
   * A temporary rejection of a proposal.
   *
   * @param origin the process that sent the request
   * @param number the number of the request at its origin
   * @param words the reason, for human readers
   */
  record Busy(long origin, long number, String words) implements StatementMessage {}
}
