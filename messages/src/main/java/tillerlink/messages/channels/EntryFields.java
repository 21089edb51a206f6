package tillerlink.messages.channels;

import java.util.ArrayList;
import java.util.List;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.Numbered;

/** Encodes and decodes the fields of one event, without its checksum. */
final class EntryFields {
  private static final int GATEWAY = 1;
  private static final int SITE = 2;
  private static final int INCARNATION = 3;
  private static final int SEQUENCE = 4;
  private static final int STAMP = 5;
  private static final int CHANNEL = 6;
  private static final int KIND = 7;
  private static final int CUE = 8;
  private static final int TEXT = 9;
  private static final int AIRS_AT = 10;
  private static final int KEY = 11;
  private static final int OVER = 12;
  private static final int SEEN = 13;

  private static final Kind[] KINDS = Kind.values();
  private static final int TYPICAL_DOT_COUNT = 2;

  private String gateway = "";
  private String site = "";
  private long incarnation;
  private long sequence;
  private long stamp;
  private String channel = "";
  private int kind;
  private String cue = "";
  private String text = "";
  private long airsAt;
  private String key = "";
  private final List<Dot> over = new ArrayList<>(TYPICAL_DOT_COUNT);
  private final List<Dot> seen = new ArrayList<>(TYPICAL_DOT_COUNT);

  static byte[] write(Entry entry) {
    FieldWriter out =
        new FieldWriter()
            .text(GATEWAY, entry.gateway())
            .text(SITE, entry.site())
            .fixed(INCARNATION, entry.incarnation())
            .number(SEQUENCE, entry.sequence())
            .fixed(STAMP, entry.stamp())
            .text(CHANNEL, entry.channel())
            .number(KIND, entry.kind().number())
            .text(CUE, entry.cue())
            .text(TEXT, entry.text())
            .number(AIRS_AT, entry.airsAt())
            .text(KEY, entry.key());
    entry.over().forEach(dot -> out.within(OVER, EntryCodec.dot(dot)));
    entry.seen().forEach(dot -> out.within(SEEN, EntryCodec.dot(dot)));
    return out.done();
  }

  Entry read(FieldReader in) throws MalformedMessageException {
    while (in.next()) {
      readIdentifierField(in);
    }
    if (incarnation <= 0 || sequence <= 0 || stamp <= 0 || gateway.isEmpty() || channel.isEmpty()) {
      throw new MalformedMessageException(
          "event has incarnation "
              + incarnation
              + ", sequence number "
              + sequence
              + ", stamp "
              + stamp
              + ", a gateway name of length "
              + gateway.length()
              + " and a channel name of length "
              + channel.length()
              + ", expected all above 0");
    }
    return new Entry(
        gateway.intern(),
        site.intern(),
        incarnation,
        sequence,
        stamp,
        channel.intern(),
        Numbered.of(KINDS, kind),
        cue,
        text,
        airsAt,
        key,
        List.copyOf(over),
        List.copyOf(seen));
  }

  private void readIdentifierField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case GATEWAY -> gateway = in.text(EntryCodec.MAX_TEXT_BYTES);
      case SITE -> site = in.text(EntryCodec.MAX_TEXT_BYTES);
      case INCARNATION -> incarnation = in.fixed();
      case SEQUENCE -> sequence = in.number(EntryCodec.MAX_SEQUENCE);
      case STAMP -> stamp = in.fixed();
      case CHANNEL -> channel = in.text(EntryCodec.MAX_TEXT_BYTES);
      default -> readContentField(in);
    }
  }

  private void readContentField(FieldReader in) throws MalformedMessageException {
    switch (in.field()) {
      case KIND -> kind = (int) in.number(KINDS.length - 1);
      case CUE -> cue = in.text(EntryCodec.MAX_TEXT_BYTES);
      case TEXT -> text = in.text(EntryCodec.MAX_TEXT_BYTES);
      case AIRS_AT -> airsAt = in.number();
      case KEY -> key = in.text(EntryCodec.MAX_TEXT_BYTES);
      case OVER -> add(over, EntryCodec.dot(in.within()));
      case SEEN -> add(seen, EntryCodec.dot(in.within()));
      default -> {
        // Skips a field of a later release.
      }
    }
  }

  private static void add(List<Dot> dots, Dot dot) throws MalformedMessageException {
    if (dots.size() >= EntryCodec.MAX_DOTS) {
      throw new MalformedMessageException(
          "event refers to more than " + EntryCodec.MAX_DOTS + " events in one list");
    }
    dots.add(dot);
  }
}
