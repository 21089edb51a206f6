package tillerlink.channels.cue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.Numbered;
import tillerlink.messages.channels.Dot;
import tillerlink.messages.channels.EntryCodec;

/** The codec for cues as parts of compacted state. */
final class CueCodec {
  static final int MAX_NAME_BYTES = 255;

  private static final int NAME = 1;
  private static final int AIRS_AT = 2;
  private static final int AIR = 3;
  private static final int VERSION = 4;
  private static final int RETRACTION = 5;
  private static final int FLAG = 6;

  private static final int VERSION_DOT = 1;
  private static final int VERSION_GATEWAY = 2;
  private static final int VERSION_TEXT = 3;

  private static final int MAX_TEXT_BYTES = 4096;
  private static final Flag[] FLAGS = Flag.values();

  private CueCodec() {}

  static FieldWriter write(Cue cue) {
    FieldWriter out = new FieldWriter().text(NAME, cue.name()).number(AIRS_AT, cue.airsAt());
    if (cue.air() != null) {
      out.within(AIR, EntryCodec.dot(cue.air()));
    }
    cue.versions().forEach(version -> out.within(VERSION, writeVersion(version)));
    cue.retractions().forEach(dot -> out.within(RETRACTION, EntryCodec.dot(dot)));
    cue.flags().forEach(flag -> out.number(FLAG, flag.number()));
    return out;
  }

  private static FieldWriter writeVersion(Cue.Version version) {
    return new FieldWriter()
        .within(VERSION_DOT, EntryCodec.dot(version.dot()))
        .text(VERSION_GATEWAY, version.gateway())
        .text(VERSION_TEXT, version.text());
  }

  static Cue read(FieldReader in) throws MalformedMessageException {
    String name = "";
    Dot air = null;
    long airsAt = 0;
    List<Cue.Version> versions = new ArrayList<>();
    List<Dot> retractions = new ArrayList<>();
    Set<Flag> flags = EnumSet.noneOf(Flag.class);
    while (in.next()) {
      switch (in.field()) {
        case NAME -> name = in.text(MAX_NAME_BYTES);
        case AIRS_AT -> airsAt = in.number();
        case AIR -> air = EntryCodec.dot(in.within());
        case VERSION -> versions.add(readVersion(in.within()));
        case RETRACTION -> retractions.add(EntryCodec.dot(in.within()));
        case FLAG -> flags.add(Numbered.of(FLAGS, (int) in.number(FLAGS.length)));
        default -> {}
      }
    }
    return new Cue(name, versions, retractions, flags, air, airsAt);
  }

  private static Cue.Version readVersion(FieldReader in) throws MalformedMessageException {
    Dot dot = null;
    String gateway = "";
    String text = "";
    while (in.next()) {
      switch (in.field()) {
        case VERSION_DOT -> dot = EntryCodec.dot(in.within());
        case VERSION_GATEWAY -> gateway = in.text(MAX_NAME_BYTES);
        case VERSION_TEXT -> text = in.text(MAX_TEXT_BYTES);
        default -> {}
      }
    }
    return new Cue.Version(dot, gateway, text);
  }
}
