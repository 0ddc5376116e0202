package org.almondjunction.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import org.almondjunction.common.AdapterId
import org.almondjunction.common.DocumentReader
import org.almondjunction.common.Fault
import org.almondjunction.common.HostId
import org.almondjunction.common.ModelId
import org.almondjunction.common.ServiceId
import org.almondjunction.common.TicketNumber
import org.almondjunction.common.ZoneId
import org.almondjunction.decisions.AdapterOffer
import org.almondjunction.decisions.ModelOffer
import org.almondjunction.decisions.Ticket

/** Reads a ticket from a TOML file. */
public object TicketDocument {
    /** Reads a ticket from TOML [text]; the error holds every fault. */
    public fun read(
        file: String,
        text: String,
    ): Result<Ticket, List<Fault>> =
        DocumentReader.read(file, text) { ticket() }.andThen { ticket ->
            val faults = ticket.faults().map { Fault(file, line = null, path = it.key, message = it.message) }
            if (faults.isEmpty()) Ok(ticket) else Err(faults)
        }

    private fun DocumentReader.ticket() =
        Ticket(
            number = TicketNumber(long("number", range = 1L..Long.MAX_VALUE)),
            models = tables("models") { offer() },
            withdrawn = strings("withdrawn").map(::ModelId),
            retiredHosts = strings("retired_hosts").map(::HostId),
        )

    private fun DocumentReader.offer() =
        ModelOffer(
            model = ModelId(string("model")),
            service = ServiceId(string("service")),
            version = string("version"),
            memoryMb = long("memory_mb", range = ModelOffer.MEMORY_MB),
            replicas = int("replicas", default = 1, range = ModelOffer.REPLICAS),
            priority = int("priority", default = 5, range = ModelOffer.PRIORITIES),
            zones = strings("zones").map(::ZoneId),
            adapters = tables("adapters") { adapter() },
        )

    private fun DocumentReader.adapter() =
        AdapterOffer(
            adapter = AdapterId(string("adapter")),
            version = string("version"),
            memoryMb = long("memory_mb", default = 64, range = ModelOffer.MEMORY_MB),
        )
}
