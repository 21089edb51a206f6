package tillerlink.net.wire;

/** The checks of characters that the protocols share. */
final class Ascii {
    private Ascii() {
    }

    static boolean letterOrDigit(int c) {
        return digit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z';
    }

    /** Whether a text is a whole number in digits alone, of any length. */
    static boolean digits(String text) {
        return !text.isEmpty() && text.chars().allMatch(Ascii::digit);
    }

    private static boolean digit(int c) {
        return c >= '0' && c <= '9';
    }
}
