package tillerlink.messages.channels;

import java.util.List;

/**
 * Messages between gateways about the logs of channels: anti-entropy (reports, wants, pieces, cuts,
 * compacted state) and consensus (the rest).
 */
public sealed interface ChannelsMessage {
  /**
   * How far a gateway has come with writing events of its own.
   *
   * @param gateway the name of the gateway
   * @param incarnation its process
   * @param floor a stamp of the hybrid logical clock; the process appends nothing at or below it
   * @param top the sequence number of its last event
   */
  record Standing(String gateway, long incarnation, long floor, long top) {}

  /** The newest incarnation that the sender knows of a gateway. */
  record Life(String gateway, long incarnation) {}

  /**
   * A gateway's summary of what it holds, sent periodically.
   *
   * @param wall the sender's clock, milliseconds since 1970
   * @param own how far the sender's own writing is
   * @param applied the slot up to which it holds and has applied everything
   * @param decided the last slot whose value it knows
   * @param base the slot up to which its log is compacted: of these it has the compacted state only
   * @param digest over all stable events up to {@code applied}
   * @param extra the events it holds beyond {@code applied}
   * @param others what it knows of the writing of other gateways
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
   * Requests events.
   *
   * @param number of the request; its pieces bear the same
   * @param maxBytes bytes of each {@link Piece} of the response
   * @param maxEntries events of all pieces together
   * @param spans the events
   */
  record Want(long number, int maxBytes, int maxEntries, List<Span> spans)
      implements ChannelsMessage {}

  /**
   * Events.
   *
   * @param number of the {@link Want} that it responds to; 0 for new events, sent unasked
   * @param last whether it is the last piece of the response
   * @param entries the events
   */
  record Piece(long number, boolean last, List<Entry> entries) implements ChannelsMessage {}

  /** Requests the decided cuts from a slot on. */
  record CutsWanted(long from) implements ChannelsMessage {}

  /** Decided cuts. */
  record Cuts(List<Cut> cuts) implements ChannelsMessage {}

  /** Requests a part of the compacted state at a slot, from an offset in bytes on. */
  record SumWanted(long slot, int offset) implements ChannelsMessage {}

  /**
   * A part of the compacted state.
   *
   * @param slot the slot up to which it is compacted
   * @param offset of the part, in bytes
   * @param size of the whole state, in bytes
   * @param bytes the part
   */
  record SumPart(long slot, int offset, int size, byte[] bytes) implements ChannelsMessage {}

  /** A process that has just started asks what its gateway promised and accepted before. */
  record Ask(long incarnation) implements ChannelsMessage {}

  /**
   * The response to an {@link Ask}.
   *
   * @param incarnation the process that asked
   * @param knows false if the responder started with empty storage and has not caught up yet
   * @param decided the last slot whose value the responder knows
   * @param promised the highest ballot that it promised
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

  /** Phase 1 of Paxos: a proposer asks for the promise of its ballot. */
  record Prepare(Ballot ballot, long slot) implements ChannelsMessage {}

  /**
   * The response to a {@link Prepare}.
   *
   * @param ballot the one asked for; it is promised only if {@code promised} is the same
   * @param slot the slot asked for
   * @param promised the highest ballot that the acceptor promised
   * @param acceptedIn the ballot in which it accepted {@code accepted}
   * @param accepted the last cut that it accepted, null if none
   * @param incarnation the acceptor's process
   * @param lives the processes it knows of the voters
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

  /** Phase 2 of Paxos: a proposer asks to accept a cut in its ballot. */
  record Accept(Ballot ballot, Cut cut) implements ChannelsMessage {}

  /**
   * The response to an {@link Accept}.
   *
   * @param ballot the one asked for; the cut is accepted only if {@code promised} is the same
   * @param slot the slot asked for
   * @param promised the highest ballot that the acceptor promised
   * @param incarnation the acceptor's process
   * @param lives the processes it knows of the voters
   */
  record Accepted(Ballot ballot, long slot, Ballot promised, long incarnation, List<Life> lives)
      implements ChannelsMessage {}
}
