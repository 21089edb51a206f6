package tillerlink.messages.channels;

import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.channels.ChannelsMessage.Life;
import tillerlink.messages.channels.ChannelsMessage.Standing;

/** Encodes and decodes the values nested in messages about channels. */
final class ValueCodec {
  private static final int STANDING_GATEWAY = 1;
  private static final int STANDING_INCARNATION = 2;
  private static final int STANDING_FLOOR = 3;
  private static final int STANDING_TOP = 4;

  private static final int BALLOT_ROUND = 1;
  private static final int BALLOT_PROPOSER = 2;

  private static final int LIFE_GATEWAY = 1;
  private static final int LIFE_INCARNATION = 2;

  private static final long MAX_ROUND = Long.MAX_VALUE >> 1;

  private ValueCodec() {}

  static FieldWriter standing(Standing standing) {
    return new FieldWriter()
        .text(STANDING_GATEWAY, standing.gateway())
        .fixed(STANDING_INCARNATION, standing.incarnation())
        .fixed(STANDING_FLOOR, standing.floor())
        .number(STANDING_TOP, standing.top());
  }

  static Standing standing(FieldReader in) throws MalformedMessageException {
    String gateway = "";
    long incarnation = 0;
    long floor = 0;
    long top = 0;
    while (in.next()) {
      switch (in.field()) {
        case STANDING_GATEWAY -> gateway = in.text(EntryCodec.MAX_NAME_BYTES);
        case STANDING_INCARNATION -> incarnation = in.fixed();
        case STANDING_FLOOR -> floor = in.fixed();
        case STANDING_TOP -> top = in.number(EntryCodec.MAX_SEQUENCE);
        default -> {}
      }
    }
    return new Standing(gateway, incarnation, floor, top);
  }

  static FieldWriter ballot(Ballot ballot) {
    return new FieldWriter()
        .number(BALLOT_ROUND, ballot.round())
        .text(BALLOT_PROPOSER, ballot.proposer());
  }

  static Ballot ballot(FieldReader in) throws MalformedMessageException {
    long round = 0;
    String proposer = "";
    while (in.next()) {
      switch (in.field()) {
        case BALLOT_ROUND -> round = in.number(MAX_ROUND);
        case BALLOT_PROPOSER -> proposer = in.text(EntryCodec.MAX_NAME_BYTES);
        default -> {}
      }
    }
    return new Ballot(round, proposer);
  }

  static FieldWriter life(Life life) {
    return new FieldWriter()
        .text(LIFE_GATEWAY, life.gateway())
        .fixed(LIFE_INCARNATION, life.incarnation());
  }

  static Life life(FieldReader in) throws MalformedMessageException {
    String gateway = "";
    long incarnation = 0;
    while (in.next()) {
      switch (in.field()) {
        case LIFE_GATEWAY -> gateway = in.text(EntryCodec.MAX_NAME_BYTES);
        case LIFE_INCARNATION -> incarnation = in.fixed();
        default -> {}
      }
    }
    return new Life(gateway, incarnation);
  }
}
