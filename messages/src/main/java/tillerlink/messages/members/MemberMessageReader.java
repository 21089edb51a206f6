package tillerlink.messages.members;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import tillerlink.messages.FieldReader;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.Numbered;

/**
 * Decodes one message between members: collects the fields of any kind of message, then creates the
 * message from them. Fields of later releases are skipped. An instance decodes one message only.
 */
final class MemberMessageReader {
  private static final MemberStatus[] STATUSES = MemberStatus.values();

  /**
   * Higher incarnations are malformed, so that a forged one can still be refuted with a higher one.
   */
  private static final long MAX_INCARNATION = Long.MAX_VALUE / 2;

  private long kind;
  private MemberInfo card = MemberInfo.NONE;
  private long number;
  private String target = "";
  private String address = "";
  private SuspicionLevel suspicion = SuspicionLevel.NONE;
  private boolean reached;
  private long bucket;
  private String after = "";
  private String upTo = "";
  private boolean reply;
  private final List<GossipUpdate> updates = new ArrayList<>();
  private final List<Integer> sums = new ArrayList<>();

  MemberMessage read(byte[] body) throws MalformedMessageException {
    FieldReader in = new FieldReader(body);
    while (in.next()) {
      readField(in);
    }
    if (card.incarnation() == 0 || card.address().isEmpty()) {
      throw new MalformedMessageException(
          "sender's card has incarnation "
              + card.incarnation()
              + " and an address of length "
              + card.address().length()
              + ", expected both above 0");
    }
    return message();
  }

  private void readField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case MemberFields.KIND -> kind = in.number();
      case MemberFields.CARD -> card = readCard(in.within());
      case MemberFields.NUMBER -> number = in.fixed();
      case MemberFields.TARGET -> target = in.text(MemberCodec.MAX_NAME_BYTES);
      case MemberFields.SUSPICION -> suspicion = readSuspicion(in.within());
      case MemberFields.ADDRESS -> address = in.text(MemberCodec.MAX_ADDRESS_BYTES);
      case MemberFields.REACHED -> reached = in.flag();
      case MemberFields.UPDATE -> {
        if (updates.size() >= MemberCodec.MAX_UPDATES) {
          throw new MalformedMessageException(
              "message has more than " + MemberCodec.MAX_UPDATES + " gossip updates");
        }
        updates.add(readUpdate(in.within()));
      }
      default -> readAntiEntropyField(in);
    }
  }

  private void readAntiEntropyField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case MemberFields.BUCKET -> bucket = in.number(MemberCodec.BUCKETS - 1);
      case MemberFields.AFTER -> after = in.text(MemberCodec.MAX_NAME_BYTES);
      case MemberFields.UP_TO -> upTo = in.text(MemberCodec.MAX_NAME_BYTES);
      case MemberFields.REPLY -> reply = in.flag();
      case MemberFields.SUMS -> readSums(in.bytes(MemberCodec.BUCKETS * Integer.BYTES));
      default -> {
        // Skips a field of a later release.
      }
    }
  }

  private void readSums(byte[] bytes) {
    ByteBuffer in = ByteBuffer.wrap(bytes);
    while (in.remaining() >= Integer.BYTES && sums.size() < MemberCodec.BUCKETS) {
      sums.add(in.getInt());
    }
  }

  private MemberMessage message() throws MalformedMessageException {
    List<GossipUpdate> attachedUpdates = List.copyOf(updates);
    return switch ((int) Math.min(kind, Integer.MAX_VALUE)) {
      case MemberFields.PROBE ->
          new MemberMessage.Probe(card, number, target, suspicion, attachedUpdates);
      case MemberFields.ACK -> new MemberMessage.Ack(card, number, suspicion, attachedUpdates);
      case MemberFields.ASK ->
          new MemberMessage.Ask(card, number, target, address, suspicion, attachedUpdates);
      case MemberFields.VOUCH -> new MemberMessage.Vouch(card, number, reached, attachedUpdates);
      case MemberFields.GOSSIP -> new MemberMessage.Gossip(card, suspicion, attachedUpdates);
      case MemberFields.DIGEST -> digest();
      case MemberFields.LISTING ->
          new MemberMessage.Listing(card, (int) bucket, after, upTo, reply, attachedUpdates);
      default -> throw new MalformedMessageException("unknown kind " + kind + " of member message");
    };
  }

  private MemberMessage digest() throws MalformedMessageException {
    if (sums.size() != MemberCodec.BUCKETS) {
      throw new MalformedMessageException(
          "expected " + MemberCodec.BUCKETS + " sums in digest, got " + sums.size());
    }
    return new MemberMessage.Digest(card, number, sums);
  }

  private static MemberInfo readCard(FieldReader in) throws MalformedMessageException {
    long incarnation = 0;
    long birth = 0;
    String address = "";
    String site = "";
    while (in.next()) {
      switch (in.field()) {
        case MemberFields.CARD_INCARNATION -> incarnation = in.number(MAX_INCARNATION);
        case MemberFields.CARD_BIRTH -> birth = in.fixed();
        case MemberFields.CARD_ADDRESS -> address = in.text(MemberCodec.MAX_ADDRESS_BYTES);
        case MemberFields.CARD_SITE -> site = in.text(MemberCodec.MAX_SITE_BYTES);
        default -> {
          // Skips a field of a later release.
        }
      }
    }
    return new MemberInfo(incarnation, birth, address, site);
  }

  private static GossipUpdate readUpdate(FieldReader in) throws MalformedMessageException {
    String name = "";
    MemberStatus status = MemberStatus.ALIVE;
    MemberInfo card = MemberInfo.NONE;
    String accuser = "";
    long age = 0;
    while (in.next()) {
      switch (in.field()) {
        case MemberFields.UPDATE_NAME -> name = in.text(MemberCodec.MAX_NAME_BYTES);
        case MemberFields.UPDATE_STATUS -> status = readStatus(in);
        case MemberFields.UPDATE_CARD -> card = readCard(in.within());
        case MemberFields.UPDATE_ACCUSER -> accuser = in.text(MemberCodec.MAX_NAME_BYTES);
        case MemberFields.UPDATE_AGE -> age = in.number(MemberCodec.AGE_MOST);
        default -> {
          // Skips a field of a later release.
        }
      }
    }
    if (name.isEmpty() || card.incarnation() == 0 || card.address().isEmpty()) {
      throw new MalformedMessageException(
          "gossip update has a name of length "
              + name.length()
              + ", incarnation "
              + card.incarnation()
              + " and an address of length "
              + card.address().length()
              + ", expected all above 0");
    }
    return new GossipUpdate(name, status, card, accuser, age);
  }

  private static SuspicionLevel readSuspicion(FieldReader in) throws MalformedMessageException {
    MemberStatus status = MemberStatus.ALIVE;
    long incarnation = 0;
    long birth = 0;
    while (in.next()) {
      switch (in.field()) {
        case MemberFields.SUSPICION_STATUS -> status = readStatus(in);
        case MemberFields.SUSPICION_INCARNATION -> incarnation = in.number(MAX_INCARNATION);
        case MemberFields.SUSPICION_BIRTH -> birth = in.fixed();
        default -> {
          // Skips a field of a later release.
        }
      }
    }
    return new SuspicionLevel(status, incarnation, birth);
  }

  private static MemberStatus readStatus(FieldReader in) throws MalformedMessageException {
    return Numbered.of(STATUSES, (int) in.number(MemberStatus.MAX_NUMBER));
  }
}
