package tillerlink.messages;

/**
 * An enum constant that messages and stored values represent by a number. A number is never reused
 * for another constant; new constants get the next free number.
 */
public interface Numbered {
  /** Returns the number that represents this constant. */
  int number();

  /**
   * Returns the constant with the given number.
   *
   * @param constants all constants of the enum
   * @throws IllegalArgumentException if no constant has the number
   */
  static <E extends Numbered> E of(E[] constants, int number) {
    for (E constant : constants) {
      if (constant.number() == number) {
        return constant;
      }
    }
    throw new IllegalArgumentException(
        "no constant of "
            + constants.getClass().getComponentType().getSimpleName()
            + " has number "
            + number);
  }
}
