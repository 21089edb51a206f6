package tillerlink.messages.channels;

import java.util.List;

/** What gateways tell each other about the logs of channels. */
public sealed interface ChannelsMessage {
  /** How a gateway's own writing stands: it appends nothing at or below {@code floor} any more. */
  record Standing(String gateway, long incarnation, long floor, long top) {}

  /** The newest incarnation that is known of a gateway. */
  record Life(String gateway, long incarnation) {}

  /**
   * Sent every now and then.
   *
   * @param wall the sender's clock, milliseconds since 1970
   * @param own how its own writing stands
   * @param applied the step of the agreed line up to which it holds everything
   * @param decided the last step it knows of
   * @param base steps up to here are compacted: it has no more of them than their sum
   * @param digest over all stable events up to {@code applied}
   * @param extra what it holds beyond {@code applied}
   * @param others what it heard of others' writing
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
   * Asks for events; the answer comes in pieces of {@code maxBytes} each, of {@code entriesMost} in
   * all.
   */
  record Want(long number, int maxBytes, int entriesMost, List<Span> spans)
      implements ChannelsMessage {}

  /** Events: an answer to a want of that number, or fresh ones (0). */
  record Piece(long number, boolean last, List<Entry> entries) implements ChannelsMessage {}

  /** Asks for steps of the agreed line from that one on. */
  record CutsWanted(long from) implements ChannelsMessage {}

  record Cuts(List<Cut> cuts) implements ChannelsMessage {}

  /** Asks for a part of the sum of all that is compacted. */
  record SumWanted(long slot, int offset) implements ChannelsMessage {}

  record SumPart(long slot, int offset, int size, byte[] bytes) implements ChannelsMessage {}

  /** A process that has just started asks what it may have agreed to before. */
  record Ask(long incarnation) implements ChannelsMessage {}

  /**
   * @param knows false if the one that answers started with nothing kept and has not caught up yet
   */
  record Answer(
      long incarnation,
      boolean knows,
      long decided,
      Ballot promised,
      Ballot acceptedIn,
      Cut accepted)
      implements ChannelsMessage {}

  record Prepare(Ballot ballot, long slot) implements ChannelsMessage {}

  /**
   * @param ballot the one asked for; it is promised only if {@code promised} is the same
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

  record Accept(Ballot ballot, Cut cut) implements ChannelsMessage {}

  /**
   * @param ballot the one asked for; it is accepted only if {@code promised} is the same
   */
  record Accepted(Ballot ballot, long slot, Ballot promised, long incarnation, List<Life> lives)
      implements ChannelsMessage {}
}
