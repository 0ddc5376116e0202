package org.almondjunction.network

import kotlin.test.Test
import kotlin.test.assertContains

class TcpConnectionTest {
    @Test
    fun `connect returns null instead of throwing when no file descriptor is free`() {
        val java = "exec \"\$0\" -cp \"\$1\" ${DescriptorShortage::class.java.name}"
        val arguments = listOf("${System.getProperty("java.home")}/bin/java", System.getProperty("java.class.path"))
        val process =
            ProcessBuilder(listOf("bash", "-c", "ulimit -n $DESCRIPTORS; $java") + arguments)
                .redirectErrorStream(true)
                .start()
        assertContains(process.inputStream.readAllBytes().decodeToString(), DescriptorShortage.NO_CONNECTION)
    }

    private companion object {
        /** Somewhat more than a JVM needs with all its jars open. */
        const val DESCRIPTORS = 256
    }
}
