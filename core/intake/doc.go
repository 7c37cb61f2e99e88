// Package intake decides how much memory and how many connections callers may use while
// their requests are being read, and which connection is closed when that is not enough.
//
// Each connection is charged for itself, and for what has arrived of its requests: header
// lines cost far more than their length, as a parsed line is an entry of a map, and body
// bytes are copied once when the body is decoded. Charges beyond the budget are made room
// for by closing connections, in this order: idle ones, the longest idle first, and then
// unfinished requests and newcomers, the one first whose last progress is the longest ago. Progress is a
// step of ProgressBytes, so that a caller who sends single bytes makes none. A connection with
// a request that has been read completely and is not answered is never closed.
//
// # Usage
//
//	ledger := intake.NewLedger[*conn](intake.BudgetFor(memory, descriptors))
//	victim, ok := ledger.Open(&client, now)        // one connection may have to be closed
//	victims, ok := ledger.Receive(&client, receipt, now)
//	ledger.Answer(&client, kept, false, now)
//	ledger.Close(&client)
package intake
