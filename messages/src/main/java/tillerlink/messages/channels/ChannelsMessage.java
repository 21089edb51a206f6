package tillerlink.messages.channels;

import java.util.List;

/**
 * A message between gateways about the logs of channels: either anti-entropy (reports, event
 * requests and responses, cuts, compacted state) or consensus (all others).
 */
public sealed interface ChannelsMessage {
  /**
   * The progress of a gateway in writing its own events.
   *
   * @param gateway the name of the gateway
   * @param incarnation the incarnation of its process
   * @param floor a stamp of the hybrid logical clock; the process appends no event stamped at or
   *     below it
   * @param top the sequence number of its last event
   */
  record Standing(String gateway, long incarnation, long floor, long top) {}

  /** The newest incarnation of a gateway that the sender knows. */
  record Life(String gateway, long incarnation) {}

  /**
   * A periodic summary of the events that a gateway stores.
   *
   * @param wall the sender's wall clock, milliseconds since 1970
   * @param own the sender's progress in writing its own events
   * @param applied the slot up to which it stores and has applied all events
   * @param decided the last slot whose value it knows
   * @param base the slot up to which its log is compacted; of earlier slots and this one it has
   *     only the compacted state
   * @param digest a digest of all stable events up to {@code applied}
   * @param extra the events that it stores beyond {@code applied}
   * @param others the known progress of other gateways in writing their events
   */
  record Report(
      long wall,
      Standing own,
      long applied,
      long decided,
      long base,
      long digest,
      List<Span> extra,
      List<Standing> others)
      implements ChannelsMessage {}

  /**
   * A request for events.
   *
   * @param number the number of the request, repeated in the pieces of the response
   * @param maxBytes the maximum size of each {@link Piece} of the response, in bytes
   * @param maxEntries the maximum number of events in all pieces together
   * @param spans the requested events
   */
  record Want(long number, int maxBytes, int maxEntries, List<Span> spans)
      implements ChannelsMessage {}

  /**
   * A batch of events, either part of a response or new events.
   *
   * @param number the number of the {@link Want} that it responds to; 0 for new events, which are
   *     sent without a request
   * @param last true for the last piece of the response
   * @param entries the events
   */
  record Piece(long number, boolean last, List<Entry> entries) implements ChannelsMessage {}

  /** A request for the decided cuts, starting at the slot {@code from}. */
  record CutsWanted(long from) implements ChannelsMessage {}

  /** Decided cuts, sent in response to {@link CutsWanted}. */
  record Cuts(List<Cut> cuts) implements ChannelsMessage {}

  /** A request for a part of the compacted state at a slot, starting at an offset in bytes. */
  record SumWanted(long slot, int offset) implements ChannelsMessage {}

  /**
   * A part of the compacted state.
   *
   * @param slot the slot up to which the state is compacted
   * @param offset the offset of the part in the state, in bytes
   * @param size the size of the whole state, in bytes
   * @param bytes the content of the part
   */
  record SumPart(long slot, int offset, int size, byte[] bytes) implements ChannelsMessage {}

  /**
   * A request of a process that has just started for the promises and accepted values of its
   * gateway's earlier incarnations.
   */
  record Ask(long incarnation) implements ChannelsMessage {}

  /**
   * The response to an {@link Ask}.
   *
   * @param incarnation the incarnation of the process that sent the request
   * @param knows false if the responder started with empty storage and has not caught up yet
   * @param decided the last slot whose value the responder knows
   * @param promised the highest ballot that the responder promised
   * @param acceptedIn the ballot in which it accepted {@code accepted}
   * @param accepted the last cut that it accepted, null if none
   */
  record Answer(
      long incarnation,
      boolean knows,
      long decided,
      Ballot promised,
      Ballot acceptedIn,
      Cut accepted)
      implements ChannelsMessage {}

  /** A request of a proposer to promise its ballot; phase 1a of Paxos. */
  record Prepare(Ballot ballot, long slot) implements ChannelsMessage {}

  /**
   * The response to a {@link Prepare}; phase 1b of Paxos.
   *
   * @param ballot the ballot of the request; it is promised only if {@code promised} equals it
   * @param slot the slot of the request
   * @param promised the highest ballot that the acceptor promised
   * @param acceptedIn the ballot in which it accepted {@code accepted}
   * @param accepted the last cut that it accepted, null if none
   * @param incarnation the incarnation of the acceptor's process
   * @param lives the newest incarnations of the voters that the acceptor knows
   */
  record Promise(
      Ballot ballot,
      long slot,
      Ballot promised,
      Ballot acceptedIn,
      Cut accepted,
      long incarnation,
      List<Life> lives)
      implements ChannelsMessage {}

  /** A request of a proposer to accept a cut in its ballot; phase 2a of Paxos. */
  record Accept(Ballot ballot, Cut cut) implements ChannelsMessage {}

  /**
   * The response to an {@link Accept}; phase 2b of Paxos.
   *
   * @param ballot the ballot of the request; the cut is accepted only if {@code promised} equals it
   * @param slot the slot of the request
   * @param promised the highest ballot that the acceptor promised
   * @param incarnation the incarnation of the acceptor's process
   * @param lives the newest incarnations of the voters that the acceptor knows
   */
  record Accepted(Ballot ballot, long slot, Ballot promised, long incarnation, List<Life> lives)
      implements ChannelsMessage {}
}
