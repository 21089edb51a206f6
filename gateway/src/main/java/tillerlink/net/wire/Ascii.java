package tillerlink.net.wire;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Character checks and decoding shared by the parsers of this package. */
final class Ascii {
  private Ascii() {}

  static boolean isLetterOrDigit(int character) {
    return isDigit(character)
        || (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z');
  }

  /** Returns whether a text consists of one or more ASCII digits and nothing else. */
  static boolean isDigits(String text) {
    return !text.isEmpty() && text.chars().allMatch(Ascii::isDigit);
  }

  /**
   * Decodes UTF-8.
   *
   * @throws MalformedProtocolException if the bytes are not valid UTF-8
   */
  static String decodeUtf8(byte[] bytes) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      throw new MalformedProtocolException("not UTF-8", "text is not valid UTF-8", e);
    }
  }

  private static boolean isDigit(int character) {
    return character >= '0' && character <= '9';
  }
}
