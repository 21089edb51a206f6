package tillerlink.messages.members;

import java.util.List;

/** A message between two members. The name of its sender is on the envelope. */
public sealed interface MemberMessage {
  /** The sender's card. */
  MemberInfo card();

  /** The gossip updates that are attached. */
  List<GossipUpdate> updates();

  /**
   * A probe (SWIM's ping), to be answered with an {@link Ack}.
   *
   * @param number the number to answer with, which nobody can guess
   * @param target the name of the probed member; empty for whoever has the address
   * @param suspicion what the receiver has to refute
   */
  record Probe(
      MemberInfo card,
      long number,
      String target,
      SuspicionLevel suspicion,
      List<GossipUpdate> updates)
      implements MemberMessage {}

  /**
   * The acknowledgement of a {@link Probe}.
   *
   * @param number the number of the probe
   * @param suspicion what the receiver has to refute
   */
  record Ack(MemberInfo card, long number, SuspicionLevel suspicion, List<GossipUpdate> updates)
      implements MemberMessage {}

  /**
   * A request of an indirect probe (SWIM's ping-req), to be answered with a {@link Vouch}.
   *
   * @param number the number to answer with
   * @param target the name of the member to be probed
   * @param address its address, for a receiver that does not know it
   * @param suspicion what the target has to refute
   */
  record Ask(
      MemberInfo card,
      long number,
      String target,
      String address,
      SuspicionLevel suspicion,
      List<GossipUpdate> updates)
      implements MemberMessage {}

  /**
   * The result of an indirect probe.
   *
   * @param number the number of the request
   * @param reached whether the target answered in time
   */
  record Vouch(MemberInfo card, long number, boolean reached, List<GossipUpdate> updates)
      implements MemberMessage {}

  /**
   * Gossip, not to be answered.
   *
   * @param suspicion what the receiver has to refute
   */
  record Gossip(MemberInfo card, SuspicionLevel suspicion, List<GossipUpdate> updates)
      implements MemberMessage {}

  /**
   * The anti-entropy digest of all that the sender knows.
   *
   * @param salt mixed into the sums, so that a collision does not repeat in the next comparison
   * @param sums one for each of the {@link MemberCodec#BUCKETS} buckets of names
   */
  record Digest(MemberInfo card, long salt, List<Integer> sums) implements MemberMessage {
    /** Copies the sums. */
    public Digest {
      sums = List.copyOf(sums);
    }

    @Override
    public List<GossipUpdate> updates() {
      return List.of();
    }
  }

  /**
   * What the sender knows of the members in one bucket, within a range of names.
   *
   * @param bucket the bucket of names
   * @param after the lower end of the range, exclusive; empty for the first name
   * @param upTo the upper end of the range, inclusive; empty for the last name
   * @param reply whether the receiver is to send what takes precedence over the listed updates
   * @param updates the members in the range
   */
  record Listing(
      MemberInfo card,
      int bucket,
      String after,
      String upTo,
      boolean reply,
      List<GossipUpdate> updates)
      implements MemberMessage {}
}
