package tillerlink.messages.members;

/**
 * The field and kind numbers of the messages between members. They never change, and no number is
 * reused for another field or kind.
 */
final class MemberFields {
  static final int KIND = 1;
  static final int CARD = 2;
  static final int NUMBER = 3;
  static final int TARGET = 4;
  static final int SUSPICION = 5;
  static final int UPDATE = 6;
  static final int ADDRESS = 7;
  static final int REACHED = 8;
  static final int SUMS = 9;
  static final int BUCKET = 10;
  static final int AFTER = 11;
  static final int UP_TO = 12;
  static final int REPLY = 13;

  // The values of KIND.
  static final int PROBE = 1;
  static final int ACK = 2;
  static final int ASK = 3;
  static final int VOUCH = 4;
  static final int GOSSIP = 5;
  static final int DIGEST = 6;
  static final int LISTING = 7;

  // The fields of CARD.
  static final int CARD_INCARNATION = 1;
  static final int CARD_BIRTH = 2;
  static final int CARD_ADDRESS = 3;
  static final int CARD_SITE = 4;

  // The fields of UPDATE.
  static final int UPDATE_NAME = 1;
  static final int UPDATE_STATUS = 2;
  static final int UPDATE_CARD = 3;
  static final int UPDATE_ACCUSER = 4;
  static final int UPDATE_AGE = 5;

  // The fields of SUSPICION.
  static final int SUSPICION_STATUS = 1;
  static final int SUSPICION_INCARNATION = 2;
  static final int SUSPICION_BIRTH = 3;

  private MemberFields() {}
}
