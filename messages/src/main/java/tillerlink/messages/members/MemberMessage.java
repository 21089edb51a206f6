package tillerlink.messages.members;

import java.util.List;

/** A message between two members. The envelope carries the name of the sender. */
public sealed interface MemberMessage {
  /** Returns the sender's card. */
  MemberInfo card();

  /** Returns the attached gossip updates. */
  List<GossipUpdate> updates();

  /**
   * A probe (SWIM's ping), which is answered with an {@link Ack}.
   *
   * @param number the number that the answer has to repeat; unpredictable, so that answers can't be
   *     forged
   * @param target the name of the probed member; empty to probe any member at the address
   * @param suspicion the suspicion of the receiver that it has to refute
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
   * @param suspicion the suspicion of the receiver that it has to refute
   */
  record Ack(MemberInfo card, long number, SuspicionLevel suspicion, List<GossipUpdate> updates)
      implements MemberMessage {}

  /**
   * A request for an indirect probe (SWIM's ping-req), which is answered with a {@link Vouch}.
   *
   * @param number the number that the answer has to repeat
   * @param target the name of the member to probe
   * @param address the target's address, for a receiver that does not know it
   * @param suspicion the suspicion of the target that it has to refute
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
   * The result of an indirect probe, sent in response to an {@link Ask}.
   *
   * @param number the number of the request
   * @param reached true if the target answered in time
   */
  record Vouch(MemberInfo card, long number, boolean reached, List<GossipUpdate> updates)
      implements MemberMessage {}

  /**
   * A gossip message without an answer.
   *
   * @param suspicion the suspicion of the receiver that it has to refute
   */
  record Gossip(MemberInfo card, SuspicionLevel suspicion, List<GossipUpdate> updates)
      implements MemberMessage {}

  /**
   * The anti-entropy digest of the sender's member table.
   *
   * @param salt a number mixed into the sums, so that a collision does not recur in the next
   *     comparison
   * @param sums one checksum for each of the {@link MemberCodec#BUCKETS} buckets of names
   */
  record Digest(MemberInfo card, long salt, List<Integer> sums) implements MemberMessage {
    /** Creates a digest with a copy of the sums. */
    public Digest {
      sums = List.copyOf(sums);
    }

    @Override
    public List<GossipUpdate> updates() {
      return List.of();
    }
  }

  /**
   * The sender's entries for the members of one digest bucket within a range of names.
   *
   * @param bucket the number of the bucket, from 0
   * @param after the lower bound of the names, exclusive; empty to start at the first name
   * @param upTo the upper bound of the names, inclusive; empty to end at the last name
   * @param reply true if the receiver should send its updates that take precedence over the listed
   *     ones
   * @param updates the entries for the members in the range
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
