package org.cuminwell.app;

import java.lang.reflect.InvocationHandler;
import java.lang.reflect.Proxy;

/**
 * Keeps SIGHUP from ending the process. Stateless and thread safe.
 *
 * <p>The JDK's signal class is reached by reflection, since the compiler hides it.
 */
final class HangUp {

  private static final System.Logger LOG = System.getLogger(HangUp.class.getName());

  private HangUp() {}

  /** Logs each SIGHUP from now on; changed settings are read at the next start. */
  static void ignore() {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      InvocationHandler log =
          (_, _, _) -> {
            LOG.log(System.Logger.Level.INFO, "changed settings are read at the next start");
            return null;
          };
      Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
      Object ignoring = Proxy.newProxyInstance(handler.getClassLoader(), handlers(handler), log);
      signal.getMethod("handle", signal, handler).invoke(null, hangUp, ignoring);
    } catch (ReflectiveOperationException e) {
      LOG.log(System.Logger.Level.WARNING, "SIGHUP will end this process", e);
    }
  }

  private static Class<?>[] handlers(Class<?> handler) {
    return new Class<?>[] {handler};
  }
}
